// Checks the deadline for the request line, which counts from the connect whatever the client sends in
// between.
#include <gtest/gtest.h>

#include "downstream/request_line_deadline.h"

namespace headrouter {
namespace {

constexpr TimePoint start = TimePoint{} + seconds(100);

// Returns the deadline, relative to the connect, of an unfinished line whose first byte arrived `first_byte`
// after the connect.
Duration deadline_after_connect(Duration first_byte, bool has_probed) {
    const TimePoint first_byte_at = start + first_byte;
    return request_line_deadline({.connected_at = start,
                                  .idle_since = has_probed ? first_byte_at : start,
                                  .line_started_at = request_line_start(start, first_byte_at),
                                  .has_probed = has_probed,
                                  .has_partial_line = true}) -
           start;
}

TEST(RequestLineDeadline, LineWithoutProbeIsTimedFromConnect) {
    for (const Duration first_byte : {Duration{}, seconds(0.5), seconds(1.4)})
        EXPECT_EQ(deadline_after_connect(first_byte, false).ns, seconds(2.5).ns);
}

TEST(RequestLineDeadline, LineAfterEarlyProbeIsTimedFromConnect) {
    for (const Duration first_byte : {Duration{}, seconds(1), seconds(1.9)})
        EXPECT_EQ(deadline_after_connect(first_byte, true).ns, seconds(2.5).ns);
}

TEST(RequestLineDeadline, LineAfterSecondsOfProbesIsTimedFromFirstByte) {
    for (const Duration first_byte : {seconds(2), seconds(30)})
        EXPECT_EQ((deadline_after_connect(first_byte, true) - first_byte).ns, seconds(2.5).ns);
}

TEST(RequestLineDeadline, ClientWithoutLineHasLessTimeAndIdleProberMore) {
    EXPECT_EQ(request_line_deadline({.connected_at = start, .idle_since = start}).ns,
              (start + seconds(1.5)).ns);
    const TimePoint probed_at = start + seconds(7);
    EXPECT_EQ(request_line_deadline({.connected_at = start, .idle_since = probed_at, .has_probed = true}).ns,
              (probed_at + seconds(5)).ns);
}

}  // namespace
}  // namespace headrouter
