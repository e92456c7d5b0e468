#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

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
    for (const auto& [line, outcome] : {std::pair{"BUSY 20\r\n", AttemptOutcome::at_capacity},
                                        {"BYE\r\n", AttemptOutcome::completed},
                                        {"MOVE\r\n", AttemptOutcome::cancelled},
                                        {"ERR\r\n", AttemptOutcome::error},
                                        {"what\r\n", AttemptOutcome::error}}) {
        const ServerResponse response = read_response(line, true);
        EXPECT_FALSE(response.is_established) << line;
        EXPECT_EQ(response.outcome, outcome) << line;
        EXPECT_EQ(response.is_valid, line != std::string_view("what\r\n")) << line;
    }
    EXPECT_TRUE(read_response("UP 5be2\r\n", true).is_established);
}

// A server that dies while it writes must not establish a request, nor prove that the request never ran.
TEST(ServerLine, ResponseThatIsNotAWholeLineOfTheProtocolIsAnError) {
    const std::string too_long = "UP " + std::string(4096, '7') + "\r\n";
    std::vector<std::pair<std::string, bool>> spoilt = {{too_long, true}};
    for (const char* cut : {"UP 5be2", "BUSY", "BYE", "MOVE", "U"}) spoilt.emplace_back(cut, false);
    for (const auto& [bytes, is_whole_line] : spoilt) {
        const ServerResponse response = read_response(bytes, is_whole_line);
        EXPECT_FALSE(response.is_established || response.is_valid) << bytes;
        EXPECT_EQ(response.outcome, AttemptOutcome::error) << bytes;
    }
}

TEST(ServerLine, ReportValueMustBeFiniteAndNotNegative) {
    EXPECT_EQ(parse_report_value("0"), 0.0);
    EXPECT_EQ(parse_report_value("12.5"), 12.5);
    for (const char* odd : {"", "-1", "nan", "inf", "1e999", "12 3", "x", "12x"})
        EXPECT_FALSE(parse_report_value(odd).has_value()) << odd;
}

}  // namespace
}  // namespace headrouter
