// Tests the messages between balancers: their exact bytes, which other versions parse, and the rejection of
// malformed messages.
#include <gtest/gtest.h>

#include "gossip/gossip_message.h"

using namespace headrouter::gossip;

TEST(GossipMessage, ParsedRoundLoadsEqualTheEncodedOnes) {
    const std::string bytes = encode_round_loads(MessageKind::round_sum, 70, 3, 10, {{1, 0.25}, {2, 4}});
    EXPECT_EQ(bytes, "1s01603000e02K010");  // the larger load comes first
    const auto message = parse_message(bytes);
    ASSERT_TRUE(message);
    EXPECT_EQ(message->kind, MessageKind::round_sum);
    EXPECT_EQ(message->round, 70u);
    EXPECT_EQ(message->reporter_count, 3u);
    EXPECT_EQ(message->total_load, 10);
    ASSERT_EQ(message->loads.size(), 2u);
    EXPECT_EQ(message->loads[0].server, 2u);
    EXPECT_NEAR(message->loads[0].load, 4, 0.4);
    EXPECT_EQ(message->loads[1].load, 0.25);
}

TEST(GossipMessage, LoadReportMarksDegradedServers) {
    const auto message = parse_message(encode_load_report(4097, {{5, degraded_marker}, {6, 1e9}}));
    ASSERT_TRUE(message);
    EXPECT_EQ(message->timestamp, 1u);
    ASSERT_EQ(message->loads.size(), 2u);
    EXPECT_EQ(message->loads[0].server, 6u);
    EXPECT_GT(message->loads[0].load, 1000);  // the highest load's digit differs from the marker's
    EXPECT_EQ(message->loads[1].load, degraded_marker);
}

TEST(GossipMessage, HeadroomIsParsedInListOrder) {
    const std::string bytes = encode_headroom(9, 55, {3, 0, 2, 7});
    EXPECT_EQ(bytes, "1r09tom");
    const auto message = parse_message(bytes);
    ASSERT_TRUE(message);
    EXPECT_EQ(message->list_checksum, 55u);
    // One digit holds three servers, so the last two rows are padding.
    EXPECT_EQ(message->headroom, (std::vector<int>{3, 0, 2, 3, 0, 0}));
}

TEST(GossipMessage, RowsBeyondTheLimitAreOmitted) {
    const std::string locations = encode_group_locations(std::vector<GroupLocationRow>(100, {1, 2}));
    const std::string report = encode_load_report(0, std::vector<ServerLoad>(100, {1, 2}));
    const std::string headroom = encode_headroom(0, 0, std::vector<int>(1000, 1));
    EXPECT_EQ(parse_message(locations).value().locations.size(), max_location_rows);
    EXPECT_EQ(parse_message(report).value().loads.size(), max_load_rows);
    EXPECT_EQ(parse_message(headroom).value().headroom.size(), max_headroom_rows);
    for (const std::string& bytes : {locations, report, headroom}) EXPECT_LE(bytes.size(), max_message_bytes);
}

TEST(GossipMessage, ParseReturnsNothingForMalformedMessages) {
    const std::string whole = encode_round_loads(MessageKind::round_counts, 1, 1, 1, {{1, 1}});
    ASSERT_TRUE(parse_message(whole));
    for (size_t size = 0; size < whole.size(); ++size)
        // Only a message without its last row, of three digits, is valid.
        EXPECT_EQ(parse_message(whole.substr(0, size)).has_value(), size == whole.size() - 3);
    for (size_t at = 0; at < whole.size(); ++at) {
        std::string corrupted = whole;
        corrupted[at] = '#';
        EXPECT_FALSE(parse_message(corrupted));
    }
    EXPECT_FALSE(parse_message("2" + whole.substr(1)));          // another version
    EXPECT_FALSE(parse_message("1c001000004"));                  // zero reporters
    EXPECT_FALSE(parse_message("1h"));                           // no row
    EXPECT_FALSE(parse_message(whole + std::string(300, 'A')));  // too long
}
