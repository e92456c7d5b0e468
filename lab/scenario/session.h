// What a client wants and how it goes about it, without a socket. Sessions are drawn before the run, so that
// arrivals never wait for the balancer (open loop); tries, returns and back-off follow from what it is
// answered.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "base/pcg32.h"
#include "scenario/scenario.h"

namespace headrouter::scenario {

struct Session {
    uint64_t number = 0;
    TimePoint from, until;  // in which it wants service
    int type = 0, tenant = 0, zone = 0;
    std::string key, group;
    double load = 0;  // microseconds of work a second
};

/// A request's id says which session it belongs to and which of its tries it is; no request has the id 0.
constexpr int try_number_bits = 20;
constexpr uint64_t request_id(uint64_t session, uint32_t try_number) {
    constexpr uint32_t try_number_mask = (1U << try_number_bits) - 1;
    return (session + 1) << try_number_bits | (try_number & try_number_mask);
}
/// Nothing where the id is no client's.
constexpr std::optional<uint64_t> session_of_request(uint64_t request) {
    const uint64_t session_plus_one = request >> try_number_bits;
    if (session_plus_one == 0) return std::nullopt;
    return session_plus_one - 1;
}

// In the order in which they come; `from` and `until` count from the start of the run.
std::vector<Session> draw_sessions(const Scenario&, uint64_t seed);

// When a client comes again after what befell it. Nothing: it has given up, or its time is over.
class ClientRetryPolicy {
   public:
    ClientRetryPolicy(const Traffic& traffic, TimePoint until) : traffic_(&traffic), until_(until) {}
    void came_up() { failed_ = 0; }
    std::optional<TimePoint> after_busy(TimePoint now, Duration advised, Pcg32&);
    std::optional<TimePoint> after_failure(TimePoint now, Pcg32&);
    std::optional<TimePoint> after_break(TimePoint now, Pcg32&);  // moved, reset or ended by its server
    bool gave_up() const { return failed_ > traffic_->retries; }

   private:
    std::optional<TimePoint> in_time(TimePoint at) const;
    const Traffic* traffic_;
    TimePoint until_;
    int failed_ = 0;
};

double exponential(Pcg32&, double mean);

}  // namespace headrouter::scenario
