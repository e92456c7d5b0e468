#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <sstream>

#include "admin/log.h"

namespace headrouter {
namespace {

// Returns the line without its first word, which is the time.
std::string without_time(const std::string& line) { return line.substr(line.find(' ') + 1); }

TEST(Log, WritesEventWithItsFields) {
    std::ostringstream out;
    Log log(out, LogLevel::info, "n1");
    const std::string server = "srv-1";
    log.info("endpoint_list_received",
             {{"version", int64_t{-7}}, {"endpoints", size_t{3}}, {"from", server}});
    EXPECT_EQ(without_time(out.str()), "info n1 endpoint_list_received version=-7 endpoints=3 from=srv-1\n");
}

TEST(Log, WritesValuesOfEachType) {
    std::ostringstream out;
    Log log(out, LogLevel::info);
    log.warning("values", {{"flag", true}, {"off", false}, {"ratio", 0.25}, {"none", ""}, {"word", "a"}});
    EXPECT_EQ(without_time(out.str()), "warning values flag=true off=false ratio=0.25 none=\"\" word=a\n");
}

TEST(Log, QuotesValuesWithSpacesAndEscapesLineEnds) {
    std::ostringstream out;
    Log log(out, LogLevel::info);
    log.error("failed", {{"reason", "no such file"}, {"line", "say \"a\\b\"\r\n\t\x01"}, {"pair", "a=b"}});
    EXPECT_EQ(
        without_time(out.str()),
        "error failed reason=\"no such file\" line=\"say \\\"a\\\\b\\\"\\r\\n\\t\\x01\" pair=\"a=b\"\n");
}

TEST(Log, OmitsLinesBelowTheConfiguredImportance) {
    std::ostringstream out;
    Log log(out, LogLevel::warning);
    log.info("hidden");
    EXPECT_FALSE(log.writes(LogLevel::info));
    EXPECT_EQ(out.str(), "");
    log.configure(LogLevel::debug, LogFormat::text);
    log.debug("shown");
    EXPECT_EQ(without_time(out.str()), "debug shown\n");
}

TEST(Log, JsonRecordHoldsTheFieldsAndTheText) {
    std::ostringstream out;
    Log log(out, LogLevel::info, "n1", LogFormat::json);
    log.info("connected",
             {{"to", "127.0.0.1:80 \xff"}, {"after_ms", 0.0625}, {"attempts", 2}, {"first", true}});
    rapidjson::Document record;
    record.Parse<rapidjson::kParseValidateEncodingFlag>(out.str().c_str());
    ASSERT_FALSE(record.HasParseError());
    EXPECT_GT(record["at"].GetDouble(), 1e9);
    EXPECT_EQ(record["level"], "info");
    EXPECT_EQ(record["name"], "n1");
    EXPECT_EQ(record["text"], "connected to=\"127.0.0.1:80 ?\" after_ms=0.0625 attempts=2 first=true");
    EXPECT_EQ(record["event"], "connected");
    EXPECT_EQ(record["to"], "127.0.0.1:80 ?");
    EXPECT_EQ(record["after_ms"].GetDouble(), 0.0625);
    EXPECT_EQ(record["attempts"].GetInt(), 2);
    EXPECT_TRUE(record["first"].GetBool());
}

TEST(Log, ParsesLevelsAndFormatsByName) {
    EXPECT_EQ(log_level_from("error"), LogLevel::error);
    EXPECT_EQ(log_level_from("debug"), LogLevel::debug);
    EXPECT_EQ(log_level_from("Debug"), std::nullopt);
    EXPECT_EQ(log_format_from("json"), LogFormat::json);
    EXPECT_EQ(log_format_from(""), std::nullopt);
}

}  // namespace
}  // namespace headrouter
