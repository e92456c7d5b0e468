#include <rapidjson/document.h>

#include <sstream>

#include "app/operator_config.h"
#include "base/parse_error.h"
#include "policy_helpers.h"

TEST(OperatorConfig, EmptyFileSetsNothing) {
    const OperatorConfig o = parse_operator_config("", "o.toml");
    EXPECT_FALSE(o.log_level);
    EXPECT_FALSE(o.log_format);
}

TEST(OperatorConfig, ValidLogSettingsAreReadAndInvalidOnesReported) {
    const OperatorConfig o = parse_operator_config("[log]\nlevel = \"debug\"\nformat = \"json\"\n", "o.toml");
    EXPECT_EQ(o.log_level, LogLevel::debug);
    EXPECT_EQ(o.log_format, LogFormat::json);
    for (const auto& [text, message] :
         {std::pair{"[log]\nformat = \"xml\"", "o.toml:2: log.format: expected one of text, json"},
          {"[log]\nlevel = 3", "o.toml:2: log.level: expected a string"},
          {"[logs]\n", "o.toml:1: logs: no such key; expected one of capture, log, spread"}})
        try {
            (void)parse_operator_config(text, "o.toml");
            EXPECT_TRUE(false);
        } catch (const ParseError& e) {
            EXPECT_EQ(std::string(e.what()), message);
        }
}

TEST(OperatorConfig, CaptureReadsItsLimitsAndRequiresAFolder) {
    const OperatorConfig o = parse_operator_config(
        "[capture]\nfolder = \"/x\"\non = true\nsegment_mb = 2\nkeep_age = \"24h\"\n", "o.toml");
    EXPECT_TRUE(o.capture->on);
    EXPECT_EQ(o.capture->recorder.folder, "/x");
    EXPECT_TRUE(o.capture->recorder.segment_bytes == 2 << 20);
    EXPECT_EQ(o.capture->recorder.keep_age, seconds(86400));
    EXPECT_TRUE(o.capture->recorder.keep_bytes == size_t{1} << 30);
    try {
        (void)parse_operator_config("[capture]\non = true\n", "o.toml");
        EXPECT_TRUE(false);
    } catch (const ParseError& e) {
        EXPECT_EQ(std::string(e.what()), "o.toml:1: capture.folder: expected the path of a folder");
    }
}

TEST(OperatorConfig, ExampleFileHasDefaultLogSettings) {
    const OperatorConfig o = read_operator_file(EXAMPLE);
    EXPECT_EQ(o.log_level, LogLevel::info);
    EXPECT_EQ(o.log_format, LogFormat::text);
}

TEST(OperatorConfig, JsonLogRecordStaysOneValidLineForAnyInput) {
    std::ostringstream out;
    Log log(out, LogLevel::info, "n\"1", LogFormat::json);
    log.warning() << "line \"one\"\nand \xff\x01";
    log.debug() << "below the log level";
    const std::string text = out.str();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
    rapidjson::Document doc;
    doc.Parse<rapidjson::kParseValidateEncodingFlag>(text.c_str());
    EXPECT_FALSE(doc.HasParseError());
    EXPECT_EQ(doc["level"], "warning");
    EXPECT_EQ(doc["name"], "n\"1");
    EXPECT_GT(doc["at"].GetDouble(), 1e9);
    EXPECT_EQ(std::string(doc["text"].GetString()), "line \"one\"\nand ?\x01");
}
