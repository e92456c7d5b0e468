// A bad day kept among the tests: a third of the servers die together and come back cold, then a burst. A
// change of the module that alters a decision is told here by name. Where that is meant: build/test_golden
// --accept writes the day anew (and says where); the commit then holds both, and says why.
#include <cstdio>

#include "capture/captured.h"

using namespace headrouter::capture;

TEST(Golden, TheRecordedDayReplaysTheSame) {
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
        std::ofstream(GOLDEN, std::ios::binary) << small_capture(2);
        std::printf("written anew: %s\n", GOLDEN);
    }
    return RUN_ALL_TESTS();
}
