#include "scenario/load_evenness.h"

#include <algorithm>
#include <cmath>

#include "base/pcg32.h"

namespace headrouter::scenario {

namespace {

constexpr int random_placements = 12;  // averaged, so that the reference cv varies little between seeds

void grow(std::vector<std::vector<float>>& rows, size_t at, size_t server) {
    if (rows.size() <= at) rows.resize(at + 1);
    if (rows[at].size() <= server) rows[at].resize(server + 1, -1.f);
}

struct Evenness {
    double cv = 0, most = 0, least = 0;
    bool judged = false;
};

// Returns the evenness of the servers that serve at a sample; not judged with fewer than two, or no load.
Evenness evenness(const std::vector<double>& load, const std::vector<char>& serves) {
    double sum = 0, squares = 0, most = 0, least = 1e300, n = 0;
    for (size_t k = 0; k < load.size(); ++k) {
        if (!serves[k]) continue;
        sum += load[k], squares += load[k] * load[k], n += 1;
        most = std::max(most, load[k]), least = std::min(least, load[k]);
    }
    if (n < 2 || sum <= 0) return {};
    const double mean = sum / n;
    return {std::sqrt(std::max(0.0, squares / n - mean * mean)) / mean, most / mean, least / mean, true};
}

// Replays the arrivals with the placement `choose(load, serves)` and returns the cv of each judged sample
// from `first` to `last`. Counts the set-ups per second and server in `setups` unless it is null.
template <class Choice>
std::vector<double> simulate_placement(const std::vector<SpreadLog::Stood>& arrivals,
                                       const std::vector<std::vector<char>>& serves,
                                       const std::vector<double>& weights, size_t first, size_t last,
                                       Choice choose, std::vector<std::vector<int>>* setups) {
    struct Change {
        TimePoint at;
        size_t arrival = 0;
        bool comes = false;
    };
    std::vector<Change> changes;
    for (size_t k = 0; k < arrivals.size(); ++k) {
        changes.push_back({arrivals[k].from, k, true});
        if (arrivals[k].until.ns != INT64_MAX) changes.push_back({arrivals[k].until, k, false});
    }
    std::stable_sort(changes.begin(), changes.end(),
                     [](const Change& a, const Change& b) { return a.at < b.at; });
    std::vector<double> load(weights.size()), cvs;
    std::vector<int> at_server(arrivals.size(), -1);
    size_t next = 0;
    for (size_t s = 0; s < last; ++s) {
        const TimePoint until = TimePoint{} + spread_every * static_cast<double>(s);
        for (; next < changes.size() && changes[next].at < until; ++next) {
            const Change& c = changes[next];
            const auto& a = arrivals[c.arrival];
            if (c.comes) {
                const int k = choose(load, serves[s]);
                at_server[c.arrival] = k;
                if (k < 0) continue;
                load[static_cast<size_t>(k)] += a.load / weights[static_cast<size_t>(k)];
                const auto second = static_cast<size_t>(a.from.ns / 1'000'000'000);
                if (setups && second < setups->size()) ++(*setups)[second][static_cast<size_t>(k)];
            } else if (const int k = at_server[c.arrival]; k >= 0) {
                load[static_cast<size_t>(k)] -= a.load / weights[static_cast<size_t>(k)];
            }
        }
        if (s < first) continue;
        if (const Evenness e = evenness(load, serves[s]); e.judged) cvs.push_back(e.cv);
    }
    return cvs;
}

double mean(const std::vector<double>& v) {
    double sum = 0;
    for (const double x : v) sum += x;
    return v.empty() ? 0 : sum / static_cast<double>(v.size());
}

// Returns the highest ratio of a server's set-ups in one second of the window to its share by weight.
double herd_of(const std::vector<std::vector<int>>& setups, const std::vector<double>& weights, size_t first,
               size_t last) {
    double most = 0, all_weights = 0;
    for (const double w : weights) all_weights += w;
    for (size_t s = first; s < std::min(last, setups.size()); ++s) {
        double sum = 0;
        for (const int n : setups[s]) sum += n;
        // With less than half a set-up per server in a second, a single set-up would already count as a herd.
        if (sum < static_cast<double>(weights.size()) / 2) continue;
        for (size_t k = 0; k < weights.size(); ++k)
            most = std::max(most, setups[s][k] / (sum * weights[k] / all_weights));
    }
    return most;
}

}  // namespace

void SpreadLog::began(TimePoint at, uint64_t request, int server, double load) {
    open_[request].push_back(stood_.size());
    stood_.push_back({server, at, TimePoint{INT64_MAX}, load});
}

void SpreadLog::over(TimePoint at, uint64_t request, int server) {
    const auto it = open_.find(request);
    if (it == open_.end()) return;
    for (const size_t k : it->second)
        if (stood_[k].server == server && stood_[k].until.ns == INT64_MAX) stood_[k].until = at;
    std::erase_if(it->second, [&](size_t k) { return stood_[k].until.ns != INT64_MAX; });
    if (it->second.empty()) open_.erase(it);
}

// A rejected attempt gets no duration: an arrival counts once, at the server that accepted it, so that the
// random placement places it once too.
void SpreadLog::turned_away(uint64_t request, int server) {
    const auto it = open_.find(request);
    if (it == open_.end()) return;
    for (const size_t k : it->second)
        if (stood_[k].server == server) stood_[k].until = stood_[k].from;
}

void SpreadLog::sample(size_t at, int server, double load, int connections) {
    const auto k = static_cast<size_t>(server);
    grow(loads_, at, k);
    loads_[at][k] = static_cast<float>(load);
    if (connections_.size() <= at) connections_.resize(at + 1);
    if (connections_[at].size() <= k) connections_[at].resize(k + 1, 0);
    connections_[at][k] = connections;
}

void SpreadLog::take(SpreadLog&& other) {
    stood_.insert(stood_.end(), other.stood_.begin(), other.stood_.end());
    open_.clear();  // a merged log takes no further ends
    for (size_t at = 0; at < other.loads_.size(); ++at)
        for (size_t k = 0; k < other.loads_[at].size(); ++k)
            if (other.loads_[at][k] >= 0)
                sample(at, static_cast<int>(k), static_cast<double>(other.loads_[at][k]),
                       other.connections_[at][k]);
}

Spread spread_of(const SpreadLog& log, const std::vector<double>& weights, TimePoint from, TimePoint until,
                 uint64_t seed) {
    Spread out;
    const size_t servers = weights.size();
    const auto place = [](TimePoint t) {
        return static_cast<size_t>(std::max<int64_t>(0, (t.ns + spread_every.ns - 1) / spread_every.ns));
    };
    const size_t first = place(from), last = std::min(log.samples(), place(until));
    std::vector<std::vector<char>> serves(log.samples(), std::vector<char>(servers));
    std::vector<double> cv, most, least, standing;
    double idle = 0, server_samples = 0;
    for (size_t s = 0; s < log.samples(); ++s) {
        std::vector<double> load(servers);
        int connections = 0;
        for (size_t k = 0; k < std::min(servers, log.loads()[s].size()); ++k) {
            serves[s][k] = log.loads()[s][k] >= 0;
            load[k] = std::max(0.0, static_cast<double>(log.loads()[s][k]));
            connections += log.connections()[s][k];
            if (s < first || s >= last || !serves[s][k]) continue;
            server_samples += 1, idle += log.connections()[s][k] == 0;
        }
        if (s < first || s >= last) continue;
        const Evenness e = evenness(load, serves[s]);
        if (!e.judged) continue;
        cv.push_back(e.cv), most.push_back(e.most), least.push_back(e.least);
        standing.push_back(connections);
        out.worst = std::max(out.worst, e.most);
    }
    out.samples = static_cast<int>(cv.size());
    out.cv = mean(cv), out.most = mean(most), out.least = mean(least), out.standing = mean(standing);
    out.idle = server_samples > 0 ? idle / server_samples : 0;
    if (out.samples == 0) return out;

    std::vector<SpreadLog::Stood> arrivals;
    for (const SpreadLog::Stood& a : log.all())
        if (a.until > a.from) arrivals.push_back(a);
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const auto& a, const auto& b) { return a.from < b.from; });
    const auto second = [](TimePoint t) { return static_cast<size_t>(t.ns / 1'000'000'000); };
    const size_t seconds_long = second(until) + 1;
    std::vector<std::vector<int>> setups(seconds_long, std::vector<int>(servers));
    for (const auto& a : arrivals)
        if (second(a.from) < seconds_long) ++setups[second(a.from)][static_cast<size_t>(a.server)];
    out.herd = herd_of(setups, weights, second(from), second(until));
    double dice = 0, herd = 0;
    for (int t = 0; t < random_placements; ++t) {
        Pcg32 chance(seed, 71 + static_cast<uint64_t>(t));
        std::vector<std::vector<int>> random_setups(seconds_long, std::vector<int>(servers));
        dice += mean(simulate_placement(
            arrivals, serves, weights, first, last,
            [&](const std::vector<double>&, const std::vector<char>& up) {
                double all = 0;
                for (size_t k = 0; k < servers; ++k) all += up[k] ? weights[k] : 0;
                double pick = chance.uniform() * all;
                for (size_t k = 0; k < servers; ++k)
                    if (up[k] && (pick -= weights[k]) <= 0) return static_cast<int>(k);
                return -1;
            },
            &random_setups));
        herd += herd_of(random_setups, weights, second(from), second(until));
    }
    out.dice = dice / random_placements;
    out.herd_dice = herd / random_placements;
    Pcg32 chance(seed, 70);
    out.seeing = mean(simulate_placement(
        arrivals, serves, weights, first, last,
        [&](const std::vector<double>& load, const std::vector<char>& up) {
            int best = -1;
            double lowest = 1e300;
            for (size_t k = 0; k < servers; ++k) {
                const double with = load[k] + (1 + 1e-3 * chance.uniform()) / weights[k];
                if (up[k] && with < lowest) lowest = with, best = static_cast<int>(k);
            }
            return best;
        },
        nullptr));
    return out;
}

}  // namespace headrouter::scenario
