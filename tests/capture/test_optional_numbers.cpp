// Tests the layout of optional numbers in captures: plain numbers, with -1 for none, as in captures from
// builds in which these numbers were not std::optional.
#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>

#include "capture/archive.h"

using namespace headrouter;
using namespace headrouter::capture;

namespace {

template <class T>
std::string bytes_of(T value) {
    std::string bytes;
    ByteWriter writer(bytes);
    visit(writer, value);
    return bytes;
}

template <class T>
std::string bytes_of_optional(std::optional<T> value) {
    std::string bytes;
    ByteWriter writer(bytes);
    visit_negative_for_none(writer, value);
    return bytes;
}

template <class T>
std::optional<T> read_optional(const std::string& bytes) {
    std::optional<T> value = T(7);
    ByteReader reader(bytes, "the number");
    visit_negative_for_none(reader, value);
    EXPECT_EQ(reader.left(), 0u);
    return value;
}

}  // namespace

TEST(OptionalNumbers, NoneIsWrittenAsMinusOne) {
    EXPECT_EQ(bytes_of_optional<int>({}), bytes_of(int64_t{-1}));
    EXPECT_EQ(bytes_of_optional<double>({}), bytes_of(-1.0));
    EXPECT_EQ(bytes_of(std::optional<ServerIndex>{}), bytes_of(int64_t{-1}));
}

TEST(OptionalNumbers, PresentNumberIsWrittenAsPlainNumber) {
    EXPECT_EQ(bytes_of_optional<size_t>(5), bytes_of(int64_t{5}));
    EXPECT_EQ(bytes_of_optional<double>(2.5), bytes_of(2.5));
    EXPECT_EQ(bytes_of(std::optional<ServerIndex>{ServerIndex{3}}), bytes_of(int64_t{3}));
    EXPECT_EQ(bytes_of(ServerIndex{3}), bytes_of(int64_t{3}));
}

TEST(OptionalNumbers, ReadsMinusOneAsNoneAndOtherNumbersAsValues) {
    EXPECT_EQ(read_optional<int>(bytes_of(int64_t{-1})), std::nullopt);
    EXPECT_EQ(read_optional<double>(bytes_of(-1.0)), std::nullopt);
    EXPECT_EQ(read_optional<double>(bytes_of(-1e-15)), -1e-15);
    EXPECT_EQ(read_optional<size_t>(bytes_of(int64_t{0})), size_t{0});
    EXPECT_EQ(read_optional<ServerIndex>(bytes_of(int64_t{-1})), std::nullopt);
    EXPECT_EQ(read_optional<ServerIndex>(bytes_of(int64_t{9})), ServerIndex{9});
}
