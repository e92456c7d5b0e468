#include <gtest/gtest.h>

#include "config/cluster_config.h"
#include "config/config_error.h"

using namespace headrouter;

namespace {

ClusterConfig config_of(const std::vector<std::string>& classes, const std::vector<std::string>& zones) {
    ClusterConfig config;
    config.request_class_names = classes;
    config.zone_names = zones;
    config.tenant_names = {"t"};
    config.policy.request_classes.resize(classes.size());
    config.policy.tenants = 1;
    return config;
}

}  // namespace

TEST(ClusterConfig, ReloadKeepsEachNameAtItsIndex) {
    ClusterConfig running = config_of({"chat", "call"}, {"a", "b"});
    running.policy.request_classes[0].deadline = seconds(1);
    ClusterConfig reloaded = config_of({"talk", "call"}, {"b", "c"});
    reloaded.policy.request_classes[0].deadline = seconds(3);
    reloaded.policy.request_classes[1].deadline = seconds(2);
    reloaded.policy.zone = 1;
    reloaded.connect_timeout = seconds(5);
    const ClusterConfig merged = with_stable_indices(running, reloaded);
    EXPECT_EQ(merged.request_class_names, (std::vector<std::string>{"", "call", "talk"}));
    EXPECT_EQ(merged.zone_names, (std::vector<std::string>{"", "b", "c"}));
    EXPECT_EQ(merged.tenant_names, (std::vector<std::string>{"t"}));
    ASSERT_EQ(merged.policy.request_classes.size(), 3u);
    EXPECT_EQ(merged.policy.request_classes[0].deadline, seconds(1));
    EXPECT_EQ(merged.policy.request_classes[1].deadline, seconds(2));
    EXPECT_EQ(merged.policy.request_classes[2].deadline, seconds(3));
    EXPECT_EQ(merged.policy.tenants, 1);
    EXPECT_EQ(merged.policy.zone, 2);
    EXPECT_EQ(merged.connect_timeout, seconds(5));
}

TEST(ClusterConfig, InvalidFieldIsReportedWithNameAndExpectedValue) {
    try {
        static_cast<void>(parse_cluster_config(R"({"trafficTypes":[],"ceilings":{},"invariants":7})"));
        ADD_FAILURE();
    } catch (const ParseError& error) {
        EXPECT_EQ(error.where(), "field 'invariants'");
        EXPECT_EQ(error.expected(), "an object");
        EXPECT_STREQ(error.what(), "field 'invariants' has a wrong value; expected an object");
    }
}

TEST(ConfigError, MessageContainsFileFieldAndExpectedValue) {
    const ConfigError wrong("operator.toml:3", "log.level", "a string");
    EXPECT_STREQ(wrong.what(), "operator.toml:3: log.level: expected a string");
    EXPECT_EQ(wrong.file(), "operator.toml:3");
    EXPECT_EQ(wrong.field(), "log.level");
    EXPECT_EQ(wrong.expected(), "a string");
    const ConfigError in_file("balancer.json", ParseError("field 'seed'", "is missing"));
    EXPECT_STREQ(in_file.what(), "balancer.json: field 'seed' is missing");
    EXPECT_EQ(in_file.field(), "field 'seed'");
    EXPECT_EQ(in_file.problem(), "is missing");
}
