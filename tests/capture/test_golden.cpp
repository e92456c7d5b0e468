/// Replays a recorded scenario: a third of the servers crash together and come back, then a burst follows.
/// A policy change that alters a decision fails here, with the event. If the new decision is intended,
/// build/test_golden --accept records the scenario again; the commit contains the policy change and the new
/// capture, and gives the reason.
#include <cstdio>

#include "capture/captured.h"

using namespace headrouter::capture;

TEST(Golden, RecordedScenarioReplaysToSameActionsTwice) {
    for (int times = 0; times < 2; ++times) {
        const ReplayResult result = replay({GOLDEN});
        EXPECT_EQ(result.outcome, ReplayResult::Outcome::same) << result.reason;
        EXPECT_GT(result.events, 800u);
        EXPECT_GT(result.actions, 500u);
    }
}

int main(int argc, char** argv) {
    testing::InitGoogleTest(&argc, argv);
    if (argc > 1 && std::string(argv[1]) == "--accept") {
        std::ofstream(GOLDEN, std::ios::binary) << record_bad_day(2);
        std::printf("recorded again: %s\n", GOLDEN);
    }
    return RUN_ALL_TESTS();
}
