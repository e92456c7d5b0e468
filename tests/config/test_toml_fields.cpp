#include <functional>

#include "config/toml_fields.h"
#include "policy_helpers.h"

// Returns the error message of reading `text`; empty if there is no error.
static std::string read_error(const std::string& text, const std::function<void(Fields&)>& read) {
    try {
        const toml::table root = parse_toml(text, "a.toml");
        Fields f(root, "a.toml", "");
        read(f);
        f.finish();
        return "";
    } catch (const ParseError& e) {
        return e.what();
    }
}

TEST(TomlFields, ValidFieldsAreRead) {
    double number = 0;
    int whole = 0;
    bool flag = false;
    Duration span;
    std::string text;
    EXPECT_TRUE(read_error("n = 2\nw = 3\nf = true\ns = \"1.5min\"\nt = \"x\"\n", [&](Fields& f) {
                    f.number("n", number, 0, 9), f.whole("w", whole, 0, 9), f.flag("f", flag),
                        f.text("t", text);
                    f.span("s", span, Duration{}, seconds(100));
                }).empty());
    EXPECT_EQ(number, 2);
    EXPECT_EQ(whole, 3);
    EXPECT_TRUE(flag);
    EXPECT_EQ(span, seconds(90));
    EXPECT_EQ(text, "x");
}

TEST(TomlFields, InvalidFieldIsReportedWithFileLineKeyAndExpectedValue) {
    int whole = 0;
    Duration span;
    const auto whole_of = [&](Fields& f) { f.whole("w", whole, 1, 9); };
    EXPECT_EQ(read_error("\n\nw = 12", whole_of), "a.toml:3: w: expected a whole number from 1 to 9");
    EXPECT_EQ(read_error("w = 1.0", whole_of), "a.toml:1: w: expected a whole number from 1 to 9");
    EXPECT_EQ(read_error("w = \"1\"", whole_of), "a.toml:1: w: expected a whole number from 1 to 9");
    EXPECT_EQ(read_error("v = 1\nw = 2", whole_of), "a.toml:1: v: no such key; expected one of w");
    const auto span_of = [&](Fields& f) { f.span("s", span, millis(1), seconds(2)); };
    for (const char* bad : {"3", "\"3\"", "\"3 s\"", "\"s\"", "\"5s\"", "\"1e400s\"", "\"nans\"", "\"-1s\""})
        EXPECT_EQ(read_error(std::string("s = ") + bad, span_of)
                      .find("a.toml:1: s: expected a duration from \"1ms\" to \"2s\""),
                  0);
    EXPECT_EQ(read_error("s = = 3", span_of).find("a.toml:1:"), 0);
}

TEST(TomlFields, InvalidFieldInArrayOfTablesIsReportedWithIndex) {
    const auto read = [](Fields& f) {
        for (Fields t : f.tables("row")) {
            int n = 0;
            t.whole("n", n, 0, 5);
            t.finish();
        }
    };
    EXPECT_EQ(read_error("[[row]]\nn = 1\n[[row]]\nn = 7\n", read),
              "a.toml:4: row[2].n: expected a whole number from 0 to 5");
    EXPECT_EQ(read_error("row = 3", read), "a.toml:1: row: expected tables, each beginning with [[row]]");
}

TEST(TomlFields, DurationsAreFormattedInTheLargestFittingUnit) {
    EXPECT_EQ(in_words(millis(300)), "300ms");
    EXPECT_EQ(in_words(seconds(90)), "1.5min");
    EXPECT_EQ(in_words(Duration{}), "0us");
}
