/// A recorded bad day: a third of the servers crash together and come back, then a burst. A change of the
/// policy that changes a decision fails here with its event. If it is intended, build/test_golden --accept
/// records the day anew; the commit holds both and says why.
#include <cstdio>

#include "capture/captured.h"

using namespace headrouter::capture;

TEST(Golden, TheRecordedDayReplaysAlike) {
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
        std::printf("recorded anew: %s\n", GOLDEN);
    }
    return RUN_ALL_TESTS();
}
