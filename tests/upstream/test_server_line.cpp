#include <gtest/gtest.h>

#include "upstream/server_line.h"

namespace headrouter {
namespace {

TEST(ServerLine, LineIsSplitAtFirstSpace) {
    const ServerLine line = split_server_line("LOAD 12 3\r\n");
    EXPECT_EQ(line.word, "LOAD");
    EXPECT_EQ(line.rest, "12 3");
    EXPECT_EQ(split_server_line("BYE\n").word, "BYE");
    EXPECT_EQ(split_server_line("BYE\n").rest, "");
    EXPECT_EQ(split_server_line("\r\n").word, "");
    EXPECT_EQ(split_server_line(" UP\r\n").word, "");
}

TEST(ServerLine, WordsAreRecognizedInUpperCaseOnly) {
    EXPECT_EQ(server_word("UP"), ServerWord::up);
    EXPECT_EQ(server_word("ERR"), ServerWord::error);
    EXPECT_EQ(server_word("up"), ServerWord::unknown);
    EXPECT_EQ(server_word(""), ServerWord::unknown);
}

TEST(ServerLine, ResponseOtherThanUpYieldsOutcome) {
    EXPECT_EQ(outcome_of_response(ServerWord::busy), AttemptOutcome::at_capacity);
    EXPECT_EQ(outcome_of_response(ServerWord::bye), AttemptOutcome::completed);
    EXPECT_EQ(outcome_of_response(ServerWord::move), AttemptOutcome::cancelled);
    EXPECT_EQ(outcome_of_response(ServerWord::error), AttemptOutcome::error);
    EXPECT_EQ(outcome_of_response(ServerWord::unknown), AttemptOutcome::error);
}

TEST(ServerLine, ReportValueMustBeFiniteAndNotNegative) {
    EXPECT_EQ(parse_report_value("0"), 0.0);
    EXPECT_EQ(parse_report_value("12.5"), 12.5);
    for (const char* odd : {"", "-1", "nan", "inf", "1e999", "12 3", "x", "12x"})
        EXPECT_FALSE(parse_report_value(odd).has_value()) << odd;
}

}  // namespace
}  // namespace headrouter
