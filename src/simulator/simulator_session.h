/// Connects balancing policies to the simulator: takes its events as JSON lines and returns the policies'
/// actions as JSON lines. The simulator defines the line formats; their field names appear only in
/// event_parser.cpp, action_writer.cpp and simulator_session.cpp.
#pragma once
#include <rapidjson/fwd.h>

#include <map>
#include <memory>
#include <string>

#include "base/parse_error.h"
#include "policy/balancing_policy.h"
#include "simulator/action_writer.h"

namespace headrouter {

/// Runs the policies of all simulated balancers. Events arrive in batches; all events of a batch happen at
/// the same time, and the batch gets one reply when it ends. Not thread-safe.
class SimulatorSession {
   public:
    /// Handles one line. Returns true if the line ended a batch: reply() then holds the batch's reply until
    /// the next batch begins. Throws ParseError for a line that is malformed or not valid after the lines
    /// before it.
    bool handle_line(const std::string& line);

    const std::string& reply() const { return reply_; }
    bool in_batch() const { return in_batch_; }

   private:
    struct Instance {
        std::unique_ptr<ActionWriter> actions;
        std::unique_ptr<BalancingPolicy> policy;
    };

    void begin_batch(const rapidjson::Value& fields);
    void end_batch();
    void start_instance(int number, const rapidjson::Value& fields);
    void dispatch(const std::string& event, BalancingPolicy&, const rapidjson::Value& fields);
    [[nodiscard]] bool dispatch_request_event(const std::string& event, BalancingPolicy&,
                                              const rapidjson::Value& fields);
    void handle_report(BalancingPolicy&, const rapidjson::Value& fields) const;

    std::map<int, Instance> instances_;
    std::string reply_;
    TimePoint now_{};
    bool in_batch_ = false;
    bool has_time_ = false;
};

}  // namespace headrouter
