#include <gtest/gtest.h>

#include "downstream/request_line.h"

using namespace headrouter;

static ClusterConfig config() {
    ClusterConfig config;
    config.request_class_names = {"chat", "pay"};
    config.tenant_names = {"x", "y"};
    config.policy.request_classes.resize(2);
    config.policy.request_classes[0].deadline = seconds(3);
    config.policy.request_classes[1].deadline = seconds(3);
    config.policy.groups = true;
    return config;
}

static RequestLineError error_of(const std::string& line) {
    const auto parsed = parse_request_line(line, config());
    EXPECT_FALSE(parsed.has_value()) << line;
    return parsed.error();
}

static const std::string start = "OPEN 0123456789abcdef 7f3a ";

TEST(RequestLine, ValidLineIsParsedWithAllFields) {
    const std::string line = start + "c=pay,t=y,d=2000,g=q,again=1,h=250,other=z\r\n";
    const auto parsed = parse_request_line(line, config());
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(parsed->line, line);
    EXPECT_EQ(parsed->wire_id, "0123456789abcdef");
    EXPECT_EQ(parsed->request.key, "7f3a");
    EXPECT_EQ(parsed->request.type, 1);
    EXPECT_EQ(parsed->request.tenant, 1);
    EXPECT_EQ(parsed->request.group, "q");
    EXPECT_TRUE(parsed->request.is_reconnect);
    EXPECT_EQ(parsed->wait, seconds(2));
    EXPECT_EQ(parsed->established_server, "");
    EXPECT_EQ(parsed->line_with_wait(millis(7.9)), start + "c=pay,t=y,d=7,g=q,again=1,h=250,other=z\r\n");
    EXPECT_EQ(parsed->line_with_wait({}), start + "c=pay,t=y,d=1,g=q,again=1,h=250,other=z\r\n");
}

TEST(RequestLine, WaitBeyondClassDeadlineIsLimitedForNewRequestsOnly) {
    EXPECT_EQ(parse_request_line(start + "c=chat,t=x,d=9000,g=q\r\n", config())->wait, seconds(3));
    EXPECT_EQ(parse_request_line(start + "c=chat,t=x,d=9000,g=q,at=s\r\n", config())->wait, seconds(9));
}

TEST(RequestLine, EachKindOfMalformedLineReturnsItsError) {
    using E = RequestLineError;
    const std::string good = "c=chat,t=x,d=5,g=q";
    EXPECT_EQ(error_of(""), E::no_crlf);
    EXPECT_EQ(error_of(start + good + "\n"), E::no_crlf);
    EXPECT_EQ(error_of("OPEN 0123456789abcdef \x01 " + good + "\r\n"), E::unprintable_byte);
    EXPECT_EQ(error_of(start + good + " more\r\n"), E::wrong_format);
    EXPECT_EQ(error_of("OPEN 0123456789ABCDEF 7f3a " + good + "\r\n"), E::malformed_id);
    EXPECT_EQ(error_of("OPEN 0123456789abcdef  " + good + "\r\n"), E::empty_key);
    EXPECT_EQ(error_of(start + good + ",\r\n"), E::malformed_field);
    EXPECT_EQ(error_of(start + good + ",c=pay\r\n"), E::duplicate_field);
    EXPECT_EQ(error_of(start + "c=none,t=x,d=5,g=q\r\n"), E::unknown_class);
    EXPECT_EQ(error_of(start + "c=chat,t=z,d=5,g=q\r\n"), E::unknown_tenant);
    EXPECT_EQ(error_of(start + good + ",again=yes\r\n"), E::malformed_flag);
    EXPECT_EQ(error_of(start + "c=chat,t=x,d=soon,g=q\r\n"), E::malformed_wait);
    EXPECT_EQ(error_of(start + "t=x,d=5,g=q\r\n"), E::missing_class);
    EXPECT_EQ(error_of(start + "c=chat,d=5,g=q\r\n"), E::missing_tenant);
    EXPECT_EQ(error_of(start + "c=chat,t=x,d=5\r\n"), E::missing_group);
    EXPECT_EQ(error_of(start + "c=chat,t=x,g=q\r\n"), E::missing_wait);
}
