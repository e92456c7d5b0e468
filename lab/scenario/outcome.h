// Holds the results of a run. The model and the sockets give the same figures, sampled ten times a second.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "scenario/invariant_checker.h"
#include "scenario/load_evenness.h"
#include "scenario/schedule.h"

namespace headrouter::scenario {

constexpr Duration sample_every = millis(100);

struct Outcome {
    std::string experiment, arm, on;  // "model" or "sockets"
    uint64_t seed = 0, digest = 0;
    double swept = 0;
    bool partial = false;
    // Why the run does not judge the balancer: the lab was late or short of descriptors; empty if it does.
    std::string not_judged;

    // Service: revenue of the well-served sessions over that of all sessions that want service, sampled.
    double asked = 0, served = 0;
    std::vector<double> asked_each, served_each;  // by second of the run
    std::vector<std::vector<float>> use_each;     // by second, by server: requested work over capacity
    uint64_t requests = 0, up = 0, up_in_time = 0, busy = 0, failed = 0, moved = 0, broken = 0, gave_up = 0,
             attempts = 0;
    // Clients that left while they waited for an answer, and attempts for them that began over 0.1 s after
    // they left; on sockets.
    uint64_t left_waiting = 0, sent_after_left = 0;
    // Servers that received more requests during slow start than the bound of ColdCount, requests that all
    // servers received during slow start, and the highest multiple of the bound; on sockets.
    uint64_t cold_overrun = 0, cold_sent = 0;
    double cold_most = 0;
    std::vector<uint64_t> rules;  // number of violations, in the order of Rule
    std::vector<std::string> examples;
    std::vector<Duration> delay_median, delay_95, delay_99;  // by request class
    std::vector<ScheduledAction> actions;
    double wall_seconds = 0;
    uint64_t events = 0;

    // Evenness of load over the judged time, and before, during and after the faults if there are any.
    Spread spread;
    struct Stretch {
        std::string name;  // "before", "during", "after"
        TimePoint from, until;
        Spread spread;
        double service = 0;
    };
    std::vector<Stretch> stretches;
    // Each `spread_every`, by server: load over weight; -1: not serving.
    std::vector<std::vector<float>> load_each;
    std::vector<FaultInjection> injections;
    double datagrams = 0, datagram_bytes = 0;  // sent per second and balancer
    double cpu = 0;                            // processor seconds per second and balancer; on sockets
    int ended_by_themselves = 0;               // processes that ended without being told to
    uint64_t garbled = 0;  // lines that a client or a server received but that no peer had sent

    double service() const { return asked > 0 ? served / asked : 0; }
    uint64_t rules_broken() const {
        uint64_t all = 0;
        for (const uint64_t n : rules) all += n;
        return all;
    }
    // Adds one sample: revenue of the sessions that want service and of those well served.
    void sample(const Scenario&, TimePoint at, double asked_now, double served_now);
    void judge(const Scenario&, const InvariantChecker&);
    void judge_spread(const Scenario&, const SpreadLog&);
    double service_between(TimePoint from, TimePoint until) const;  // over the whole seconds in between
    void add(const Outcome& other);  // adds the results of another thread's clients
};

// Returns whether a message delay meets the objective of a request class.
inline bool well_served(const RequestClassSpec& row, Duration delay) {
    return delay <= row.message_objective;
}

}  // namespace headrouter::scenario
