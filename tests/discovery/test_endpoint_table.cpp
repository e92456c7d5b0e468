#include <gtest/gtest.h>

#include "discovery/endpoint_table.h"

namespace headrouter {
namespace {

EndpointUpdate::Entry entry(const ServerId& id, EndpointState state, const std::string& host_port) {
    EndpointUpdate::Entry made;
    made.endpoint.server = id;
    made.endpoint.state = state;
    made.address = Address::from(host_port);
    return made;
}

TEST(EndpointTable, SnapshotRemovesEndpointsThatItDoesNotContain) {
    EndpointTable table;
    table.apply({1, true, {entry("s1", EndpointState::active, "127.0.0.1:1")}});
    EXPECT_TRUE(table.is_active("s1"));
    table.apply({2, true, {entry("s2", EndpointState::draining, "127.0.0.1:2")}});
    EXPECT_FALSE(table.is_active("s1"));
    EXPECT_FALSE(table.is_active("s2"));
    EXPECT_EQ(table.present_count(), 1);
    EXPECT_TRUE(table.address_of("s1").has_value());
}

TEST(EndpointTable, DeltaKeepsOtherEndpointsAndKnownAddresses) {
    EndpointTable table;
    table.apply({1, true, {entry("s1", EndpointState::active, "127.0.0.1:1")}});
    table.apply(
        {2, false, {entry("s1", EndpointState::removed, ""), entry("s2", EndpointState::active, "")}});
    EXPECT_FALSE(table.is_active("s1"));
    EXPECT_TRUE(table.address_of("s1").has_value());
    EXPECT_TRUE(table.is_active("s2"));
    EXPECT_FALSE(table.address_of("s2").has_value());
    EXPECT_FALSE(table.address_of("s3").has_value());
    EXPECT_FALSE(table.is_active("s3"));
    EXPECT_EQ(table.present_count(), 1);
}

}  // namespace
}  // namespace headrouter
