#include <gtest/gtest.h>

#include "discovery/http_response_parser.h"

namespace headrouter {
namespace {

using Progress = HttpResponseParser::Progress;

TEST(HttpResponseParser, ParsesAResponseThatArrivesByteByByte) {
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    HttpResponseParser parser;
    for (size_t at = 0; at + 1 < bytes.size(); ++at)
        EXPECT_EQ(parser.feed(bytes.substr(at, 1)), Progress::incomplete);
    EXPECT_EQ(parser.feed(bytes.substr(bytes.size() - 1)), Progress::complete);
    const HttpResponse response = parser.take_response();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "hello");
    EXPECT_EQ(response.retry_after, Duration{});
    EXPECT_TRUE(response.keeps_alive);
}

TEST(HttpResponseParser, ReadsRetryAfterInWholeSecondsOnly) {
    const auto retry_after_of = [](const std::string& header) {
        HttpResponseParser parser;
        EXPECT_EQ(
            parser.feed("HTTP/1.1 503 Busy\r\nX-Other: 9\r\n" + header + "\r\nContent-Length: 0\r\n\r\n"),
            Progress::complete);
        return parser.take_response().retry_after;
    };
    EXPECT_EQ(retry_after_of("Retry-After: 7"), seconds(7));
    EXPECT_EQ(retry_after_of("RETRY-AFTER: 0"), Duration{});
    EXPECT_EQ(retry_after_of("Retry-After: 7s"), Duration{});
    EXPECT_EQ(retry_after_of("Retry-After: Wed, 21 Oct 2026 07:28:00 GMT"), Duration{});
    EXPECT_EQ(retry_after_of("Retry-Before: 7"), Duration{});
}

TEST(HttpResponseParser, RejectsBytesThatAreNotHttp) {
    HttpResponseParser parser;
    EXPECT_EQ(parser.feed("220 smtp ready\r\n"), Progress::malformed);
    parser.reset();
    EXPECT_EQ(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), Progress::complete);
}

TEST(HttpResponseParser, ConnectionEndCompletesAResponseWithoutALength) {
    HttpResponseParser parser;
    EXPECT_EQ(parser.feed("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"), Progress::incomplete);
    EXPECT_EQ(parser.feed({}), Progress::complete);
    const HttpResponse response = parser.take_response();
    EXPECT_EQ(response.body, "half");
    EXPECT_FALSE(response.keeps_alive);
}

}  // namespace
}  // namespace headrouter
