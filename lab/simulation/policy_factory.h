// What places requests in the model: the BalancingPolicy as it is, or a baseline for comparison. The
// baselines stay in the lab; the ordinary path of the program is the BalancingPolicy's alone.
#pragma once
#include <memory>
#include <string>

#include "policy/balancing_policy.h"

namespace headrouter::simulation {

class Policy {
   public:
    virtual ~Policy() = default;
    virtual void on_request(TimePoint, Request) = 0;
    virtual void on_client_gone(TimePoint, RequestId) = 0;
    virtual void on_attempt_established(TimePoint, RequestId, int attempt, Duration took) = 0;
    virtual void on_attempt_ended(TimePoint, RequestId, int attempt, AttemptOutcome, Duration took,
                                  bool final) = 0;
    virtual void on_load_report(TimePoint, RequestId, double micros_a_second) = 0;
    virtual void on_latency_report(TimePoint, const ServerId&, double millis) = 0;
    virtual void on_endpoints(TimePoint, EndpointUpdateKind, const std::vector<Endpoint>&) = 0;
    virtual void on_timer(TimePoint, uint64_t token) = 0;
    virtual void on_gossip(TimePoint, int slot, const std::string& bytes) = 0;
};

enum class PolicyKind { balancing, random, least_connections, two_choices, rendezvous };
const char* word(PolicyKind);
bool policy_from(const std::string& text, PolicyKind&);

// Where what a BalancingPolicy is told is kept; no folder: nowhere.
struct Recording {
    std::string folder, name;
};
std::unique_ptr<Policy> make_policy(PolicyKind, const PolicyConfig&, uint64_t seed, PolicyActions&,
                                    TimePoint now, const Recording& = {});

}  // namespace headrouter::simulation
