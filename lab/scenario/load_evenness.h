// Measures how evenly servers are loaded, from the observations of the servers, and compares the result with
// two placements of the same arrivals: at random by weight, and by a policy that knows every load. Loads are
// in units of an average connection, divided by the server's weight (1 on average).
#pragma once
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace headrouter::scenario {

struct Spread {
    double cv = 0;      // coefficient of variation of the load over servers, mean of the samples
    double dice = 0;    // cv if each arrival goes to a random server, by weight
    double seeing = 0;  // cv if each arrival goes to the server with the least load for its weight
    // Highest and lowest load over the mean load, each as the mean of the samples; the worst highest load.
    double most = 0, least = 0, worst = 0;
    double idle = 0;  // share of server-seconds without a connection
    // Most set-ups of a server in one second over its share by weight: as observed, and if placed at random.
    double herd = 0, herd_dice = 0;
    double standing = 0;  // established connections, mean of the samples
    int samples = 0;
    double over_dice() const { return dice > 0 ? cv / dice : 0; }
};

// Records what the servers of one thread, or of all threads, observed.
class SpreadLog {
   public:
    struct Stood {
        int server = -1;
        TimePoint from, until{INT64_MAX};
        double load = 1;
    };
    void began(TimePoint, uint64_t request, int server, double load);
    void over(TimePoint, uint64_t request, int server);
    void turned_away(uint64_t request, int server);
    // Records one server at one sample: load over weight, and connections. A negative load means that the
    // server does not serve.
    void sample(size_t at, int server, double load, int connections);
    void take(SpreadLog&&);  // merges another log into this one

    const std::vector<Stood>& all() const { return stood_; }
    size_t samples() const { return loads_.size(); }
    const std::vector<std::vector<float>>& loads() const { return loads_; }
    const std::vector<std::vector<int>>& connections() const { return connections_; }

   private:
    std::vector<Stood> stood_;
    // By request: indices of its open entries in `stood_`.
    std::unordered_map<uint64_t, std::vector<size_t>> open_;
    std::vector<std::vector<float>> loads_;  // by sample, by server
    std::vector<std::vector<int>> connections_;
};

constexpr Duration spread_every = seconds(0.5);

// Returns the evenness from `from` to `until`; sample n was taken at n * `spread_every`.
Spread spread_of(const SpreadLog&, const std::vector<double>& weights, TimePoint from, TimePoint until,
                 uint64_t seed);

}  // namespace headrouter::scenario
