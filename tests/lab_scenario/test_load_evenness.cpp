// Tests the measured evenness of load and its references: random placement and placement by known load.
#include <cmath>

#include "policy_helpers.h"
#include "scenario/load_evenness.h"

using namespace headrouter::scenario;

// Returns the evenness of `connections` that arrive at a constant rate over ten seconds and stay; `server_of`
// chooses the server of each.
template <class Choice>
static Spread measure_spread(int servers, int connections, Choice server_of,
                             std::vector<double> weights = {}) {
    if (weights.empty()) weights.assign(static_cast<size_t>(servers), 1);
    SpreadLog log;
    std::vector<int> held(static_cast<size_t>(servers));
    int next = 0;
    for (int s = 0; s <= 24; ++s) {
        const TimePoint now = TimePoint{} + spread_every * s;
        for (; next < connections && TimePoint{} + seconds(10.0 * next / connections) < now; ++next) {
            const int k = server_of(next);
            log.began(TimePoint{} + seconds(10.0 * next / connections), static_cast<uint64_t>(next) + 1, k,
                      1);
            ++held[static_cast<size_t>(k)];
        }
        for (int k = 0; k < servers; ++k)
            log.sample(static_cast<size_t>(s), k,
                       held[static_cast<size_t>(k)] / weights[static_cast<size_t>(k)],
                       held[static_cast<size_t>(k)]);
    }
    return spread_of(log, weights, TimePoint{} + seconds(10), TimePoint{} + seconds(12), 1);
}

TEST(LoadEvenness, RoundRobinIsEvenAndRandomReferenceHasBinomialCv) {
    const Spread s = measure_spread(20, 400, [](int k) { return k % 20; });
    EXPECT_LT(s.cv, 1e-9);
    EXPECT_EQ(s.most, 1);
    EXPECT_EQ(s.least, 1);
    EXPECT_EQ(s.idle, 0);
    EXPECT_EQ(s.samples, 4);
    EXPECT_LT(std::abs(s.dice - 1 / std::sqrt(20.0)), 0.05);
    EXPECT_LT(s.seeing, 0.02);
    EXPECT_EQ(s.standing, 400);
}

TEST(LoadEvenness, RandomPlacementIsAboutAsUnevenAsRandomReference) {
    Pcg32 chance(9);
    const Spread s = measure_spread(20, 400, [&](int) { return static_cast<int>(chance.uniform() * 20); });
    EXPECT_GT(s.over_dice(), 0.7);
    EXPECT_LT(s.over_dice(), 1.4);
}

TEST(LoadEvenness, HerdOnOneServerAndIdleServersAreMeasured) {
    const Spread s = measure_spread(10, 400, [](int k) { return k < 200 ? k % 5 : 7; });
    EXPECT_EQ(s.idle, 0.4);  // four of ten servers never have a connection
    SpreadLog log;
    for (int k = 0; k < 40; ++k)
        log.began(TimePoint{} + seconds(2.1), static_cast<uint64_t>(k) + 1, k < 30 ? 3 : k % 10, 1);
    for (size_t at = 0; at < 12; ++at)
        for (int k = 0; k < 10; ++k) log.sample(at, k, at > 5 ? 4 : 0, 4);
    const Spread herd =
        spread_of(log, std::vector<double>(10, 1), TimePoint{} + seconds(1), TimePoint{} + seconds(4), 1);
    EXPECT_EQ(herd.herd, 7.75);
    EXPECT_LT(herd.herd_dice, 3.5);  // server 3 gets 31 of 40 set-ups, its share is a tenth
}

TEST(LoadEvenness, LoadIsMeasuredRelativeToWeight) {
    const std::vector<double> weights{0.5, 1.5};
    const Spread s = measure_spread(
        2, 400, [](int k) { return k % 4 == 0 ? 0 : 1; }, weights);
    EXPECT_LT(s.cv, 0.01);
    EXPECT_LT(s.most, 1.01);
    const Spread wrong = measure_spread(
        2, 400, [](int k) { return k % 2; }, weights);
    EXPECT_LT(std::abs(wrong.most - 1.5), 0.01);
    EXPECT_LT(std::abs(wrong.least - 0.5), 0.01);
}

TEST(LoadEvenness, ServersThatDoNotServeAreIgnored) {
    SpreadLog log;
    for (size_t at = 0; at < 8; ++at)
        for (int k = 0; k < 4; ++k) log.sample(at, k, k == 3 ? -1 : 5, k == 3 ? 0 : 5);
    const Spread s = spread_of(log, std::vector<double>(4, 1), TimePoint{}, TimePoint{} + seconds(4), 1);
    EXPECT_LT(s.cv, 1e-6);
    EXPECT_EQ(s.idle, 0);
}
