// What a run came to, on the model or on sockets: the same figures from either, taken ten times a second.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/ledger.h"
#include "fleet/script.h"

namespace headrouter::fleet {

constexpr Span sample_every = millis(100);

struct Outcome {
    std::string experiment, arm, on;  // "model" or "sockets"
    uint64_t seed = 0, digest = 0;
    double swept = 0;
    bool partial = false;
    std::string not_judged;  // why the run says nothing of the balancer: a late lab, one short of descriptors

    // Service: revenue of the sessions well served over that of all that want service, sampled.
    double asked = 0, served = 0;
    std::vector<double> asked_each, served_each;  // by second of the run
    std::vector<std::vector<float>> use_each;     // by second, by server: work asked over capacity
    uint64_t calls = 0, up = 0, up_in_time = 0, busy = 0, failed = 0, moved = 0, broken = 0, gave_up = 0,
             legs = 0;
    std::vector<uint64_t> rules;  // broken, in the order of Rule
    std::vector<std::string> examples;
    std::vector<Span> delay_median, delay_95, delay_99;  // by traffic type
    std::vector<Deed> deeds;
    double wall_seconds = 0;
    uint64_t events = 0;

    double service() const { return asked > 0 ? served / asked : 0; }
    uint64_t rules_broken() const {
        uint64_t all = 0;
        for (const uint64_t n : rules) all += n;
        return all;
    }
    // One sample: what is asked and well served now, in revenue.
    void sample(const World&, Instant since_start, double asked_now, double served_now);
    void judge(const World&, const Ledger&);
};

// Whether a server's message delay, or a client's, serves a type of traffic well.
inline bool well_served(const TypeRow& row, Span delay) { return delay <= row.message_target; }

}  // namespace headrouter::fleet
