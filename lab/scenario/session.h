// Generates client sessions and decides when a client retries, without sockets. Sessions are drawn before the
// run, so that arrivals never wait for the balancer (open loop); retries, reconnects and backoff depend on
// the answers.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "base/pcg32.h"
#include "scenario/scenario.h"

namespace headrouter::scenario {

struct Session {
    uint64_t number = 0;
    TimePoint from, until;  // when the client begins and ceases to want service
    int type = 0, tenant = 0, zone = 0;
    std::string key, group;
    double load = 0;  // microseconds of work per second
};

/// Returns the id of a request, which holds its session and the number of the try; never 0.
constexpr int try_number_bits = 20;
constexpr uint64_t request_id(uint64_t session, uint32_t try_number) {
    constexpr uint32_t try_number_mask = (1U << try_number_bits) - 1;
    return (session + 1) << try_number_bits | (try_number & try_number_mask);
}
/// Returns the session of a request, or nothing if the id does not belong to a client.
constexpr std::optional<uint64_t> session_of_request(uint64_t request) {
    const uint64_t session_plus_one = request >> try_number_bits;
    if (session_plus_one == 0) return std::nullopt;
    return session_plus_one - 1;
}

// Returns the sessions in order of arrival; `from` and `until` count from the start of the run.
std::vector<Session> draw_sessions(const Scenario&, uint64_t seed);

// Computes when a client retries after a rejection, a failure or a broken connection. Returns nothing if the
// client has given up or no longer wants service by then.
class ClientRetryPolicy {
   public:
    ClientRetryPolicy(const Traffic& traffic, TimePoint until) : traffic_(&traffic), until_(until) {}
    void came_up() { failed_ = 0; }
    std::optional<TimePoint> after_busy(TimePoint now, Duration advised, Pcg32&);
    std::optional<TimePoint> after_failure(TimePoint now, Pcg32&);
    std::optional<TimePoint> after_break(TimePoint now, Pcg32&);  // moved, reset or ended by its server
    bool gave_up() const { return failed_ > traffic_->retries; }

   private:
    std::optional<TimePoint> if_still_wanted(TimePoint at) const;
    const Traffic* traffic_;
    TimePoint until_;
    int failed_ = 0;
};

double exponential(Pcg32&, double mean);

}  // namespace headrouter::scenario
