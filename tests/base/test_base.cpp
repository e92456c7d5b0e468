#include "policy_helpers.h"

TEST(Base, SlidingWindowDropsOldBuckets) {
    SlidingWindow<4> window(seconds(1));
    window.add(TimePoint{0}, 3);
    window.add(TimePoint{2'500'000'000}, 4);
    EXPECT_EQ(window.sum(TimePoint{3'900'000'000}), 7);
    EXPECT_EQ(window.sum(TimePoint{4'000'000'000}), 4);
    EXPECT_EQ(window.max_bucket(TimePoint{5'000'000'000}), 4);
    EXPECT_EQ(window.sum(TimePoint{60'000'000'000}), 0);
}

TEST(Base, RandomNumbersDependOnlyOnTheSeed) {
    Pcg32 a(7), b(7), c(8);
    bool differs = false;
    for (int k = 0; k < 100; ++k) {
        const uint32_t x = a.next();
        EXPECT_EQ(x, b.next());
        differs |= x != c.next();
    }
    EXPECT_TRUE(differs);
}

TEST(Base, SlidingWindowKeepsTheLargestValueRaisedTo) {
    SlidingWindow<2> window(seconds(1));
    window.raise_to(TimePoint{0}, 3);
    window.raise_to(TimePoint{1}, 2);
    EXPECT_EQ(window.max_bucket(TimePoint{2}), 3);
    window.clear();
    EXPECT_EQ(window.sum(TimePoint{2}), 0);
}

// Other balancers and old captures depend on these exact numbers.
TEST(Base, HashAndGeneratorAreTheSameInEveryBuild) {
    static_assert(hash_of("") == (1469598103934665603ULL ^ 1469598103934665603ULL >> 29));
    Pcg32 generator(42, 54);
    EXPECT_EQ(generator.next(), 0xa15c02b7u);  // the reference sequence of pcg32-demo
    EXPECT_EQ(generator.next(), 0x7b47f409u);
    EXPECT_EQ(generator.next(), 0xba1d3330u);
}
