#include <gtest/gtest.h>

#include "upstream/address_health.h"

namespace headrouter {
namespace {

const TimePoint start{1'000'000'000'000};
const std::string address = "a";

TimePoint after(double elapsed) { return start + seconds(elapsed); }

// Returns a table with two attempts to one address, which last sent bytes at `start`.
AddressHealthTable two_attempts() {
    AddressHealthTable table;
    table.add_attempt(address);
    table.add_attempt(address);
    table.on_received(address, start);
    return table;
}

TEST(AddressHealth, AddressWithTwoUnansweredAttemptsIsSilent) {
    AddressHealthTable table = two_attempts();
    table.begin_check(after(1), {});
    table.count_unanswered(address, after(1), after(0.1));
    EXPECT_FALSE(table.is_silent(
        address, after(1)));  // one unanswered attempt alone may be a fault of that connection
    table.count_unanswered(address, after(1), after(0.2));
    EXPECT_TRUE(table.is_silent(address, after(1)));
    table.on_received(address, after(1));
    EXPECT_FALSE(table.is_silent(address, after(1)));
}

TEST(AddressHealth, AddressWithFailedConnectAndOneUnansweredAttemptIsSilent) {
    AddressHealthTable table = two_attempts();
    table.on_connect_timeout(address);
    table.begin_check(after(1), {});
    EXPECT_FALSE(table.is_silent(address, after(1)));  // no attempt waits for an answer
    table.count_unanswered(address, after(1), after(0.1));
    EXPECT_TRUE(table.is_silent(address, after(1)));
}

TEST(AddressHealth, ShortWaitsAndProcessStallsDoNotCountAsSilence) {
    AddressHealthTable table = two_attempts();
    table.begin_check(after(1), {});
    table.count_unanswered(address, after(1), after(0.9));
    table.count_unanswered(address, after(1), after(0.9));
    EXPECT_FALSE(table.is_silent(address, after(1)));
    table.begin_check(after(1), seconds(0.5));
    table.count_unanswered(address, after(1), after(0.1));
    table.count_unanswered(address, after(1), after(0.1));
    EXPECT_FALSE(
        table.is_silent(address, after(1)));  // with the stall of 0.5 s left out, last bytes at 0.5 s
}

TEST(AddressHealth, FailedConnectsAreForgottenAfterLastAttempt) {
    AddressHealthTable table = two_attempts();
    table.on_connect_timeout(address);
    table.remove_attempt(address);
    table.remove_attempt(address);
    table.add_attempt(address);
    table.begin_check(after(1), {});
    table.count_unanswered(address, after(1), after(0.1));
    EXPECT_FALSE(table.is_silent(address, after(1)));
}

}  // namespace
}  // namespace headrouter
