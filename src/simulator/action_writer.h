/// Encodes the actions of one policy as the simulator's JSON lines. Does no I/O: appends the lines to a
/// string.
#pragma once
#include <string>

#include "policy/balancing_policy.h"

namespace headrouter {

/// Appends the actions of one simulated balancer to `reply`, which must outlive the writer. Not thread-safe.
class ActionWriter : public PolicyActions {
   public:
    ActionWriter(int instance, std::string& reply) : instance_(instance), reply_(reply) {}

    void start_attempt(RequestId, const ServerId&, Duration timeout) override;
    void reject(RequestId, Duration retry_after) override;
    void fail(RequestId) override;
    void migrate(RequestId) override;
    void set_timer(TimePoint, uint64_t token) override;
    void watch_endpoints() override;
    void send_gossip(int slot, const std::string& bytes) override;

   private:
    void begin(const char* action);
    void add_request(RequestId);
    void add_literal(const char* key, const std::string& literal);
    void add_text(const char* key, const std::string& text);
    void end();

    int instance_;
    std::string& reply_;
};

}  // namespace headrouter
