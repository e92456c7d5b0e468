// Tests the layout of values in bytes, and the errors for truncated or corrupt bytes.
#include <gtest/gtest.h>

#include "base/parse_error.h"
#include "capture/archive.h"

using namespace headrouter;
using namespace headrouter::capture;

namespace {

template <class Value>
std::string bytes_of(Value value) {
    std::string bytes;
    ByteWriter writer(bytes);
    visit(writer, value);
    return bytes;
}

template <class Value>
std::string error_of(const std::string& bytes) {
    ByteReader reader(bytes, "the input");
    Value value{};
    try {
        visit(reader, value);
        reader.check_end();
    } catch (const ParseError& error) {
        return error.what();
    }
    return "";
}

template <class Value>
void expect_same_when_read(const Value& value) {
    const std::string bytes = bytes_of(value);
    ByteReader reader(bytes, "the input");
    Value read{};
    visit(reader, read);
    EXPECT_EQ(read, value);
    EXPECT_EQ(reader.left(), 0U);
}

struct Pair {
    int first = 0;
    std::string second;
    bool operator==(const Pair&) const = default;
};

template <class Visitor>
void for_each_field(Pair& pair, Visitor visit) {
    visit(pair.first);
    visit(pair.second);
}

}  // namespace

TEST(Archive, WritesNumberInEightBytesAndFlagInOne) {
    EXPECT_EQ(bytes_of(0x0102), std::string("\x02\x01\0\0\0\0\0\0", 8));
    EXPECT_EQ(bytes_of(-1), std::string(8, '\xff'));
    EXPECT_EQ(bytes_of(true), std::string(1, '\x01'));
    EXPECT_EQ(bytes_of(std::string("ab")), std::string("\x02\0\0\0ab", 6));
    EXPECT_EQ(bytes_of(std::optional<int>()), std::string(1, '\0'));
}

TEST(Archive, WritesStructAsItsFieldsInOrder) {
    EXPECT_EQ(bytes_of(Pair{3, "x"}), bytes_of(3) + bytes_of(std::string("x")));
}

TEST(Archive, WritesEqualTablesToEqualBytesAfterInsertionsAndRemovals) {
    std::unordered_map<std::string, int> grown;
    for (int k = 0; k < 100; ++k) grown[std::to_string(k)] = k;
    for (int k = 3; k < 100; ++k) grown.erase(std::to_string(k));
    const std::map<std::string, int> small{{"0", 0}, {"1", 1}, {"2", 2}};
    EXPECT_EQ(bytes_of(grown), bytes_of(small));
}

TEST(Archive, ReadsBackWrittenValues) {
    expect_same_when_read(std::vector<double>{0.1, -1e300, 0});
    expect_same_when_read(std::optional<TimePoint>(TimePoint{-5}));
    expect_same_when_read(std::map<std::string, Pair>{{"a", {1, "x"}}, {"", {-1, ""}}});
    expect_same_when_read(std::array<bool, 3>{true, false, true});
}

TEST(Archive, TruncatedOrExcessInputIsRejectedWithOffsetAndExpectation) {
    EXPECT_EQ(error_of<Pair>(bytes_of(Pair{3, "xyz"}).substr(0, 5)),
              "offset 0 of the input is followed by 5 bytes; expected 8 at least");
    EXPECT_EQ(error_of<int>(bytes_of(3) + "x"),
              "offset 8 of the input is followed by 1 bytes; expected the end");
}

TEST(Archive, FlagOtherThanZeroOrOneIsRejected) {
    EXPECT_EQ(error_of<std::optional<int>>("\x07"), "offset 0 of the input is 7; expected a flag, 0 or 1");
}

// A corrupt length must not cause an allocation beyond what the bytes can hold.
TEST(Archive, ListCountBeyondRemainingBytesIsRejected) {
    EXPECT_EQ(error_of<std::vector<int>>(std::string("\xff\xff\xff\xff"
                                                     "abc")),
              "offset 4 of the input begins a list of 4294967295 elements in 3 bytes; expected a byte for "
              "each at least");
}
