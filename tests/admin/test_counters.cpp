#include <gtest/gtest.h>

#include <sstream>

#include "admin/counters.h"

namespace headrouter {
namespace {

TEST(Counters, PrintedNamesStayAsOperatorsKnowThem) {
    EXPECT_EQ(printed_name(Counter::connections_accepted), "conns_taken_in");
    EXPECT_EQ(printed_name(Counter::attempts_at_capacity), "legs_full");
    EXPECT_EQ(printed_name(Counter::endpoint_updates), "lists_told");
    EXPECT_EQ(printed_name(Counter::broken_invariants), "broken_invariants");
}

TEST(Counters, PrintsOnlyCountersAboveZero) {
    Counters counters;
    counters.add(Counter::reloads);
    counters.add(Counter::requests_accepted, 3);
    std::ostringstream out;
    counters.print(out);
    EXPECT_EQ(out.str(), "calls_taken_in=3 reloads=1");
}

TEST(Counters, WritesCountersAsFieldsOfALogLine) {
    Counters counters;
    counters.add(Counter::gossip_sent, 2);
    std::ostringstream out;
    Log log(out, LogLevel::info);
    log.write(LogLevel::info, "counters", counters.log_fields());
    EXPECT_NE(out.str().find(" info counters peers_told=2\n"), std::string::npos);
}

}  // namespace
}  // namespace headrouter
