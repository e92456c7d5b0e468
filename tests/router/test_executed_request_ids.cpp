/// Tests of the memory of requests that must not run again.
#include <gtest/gtest.h>

#include "router/executed_request_ids.h"

using namespace headrouter;

namespace {

std::string wire_id(size_t number) {
    std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

}  // namespace

// Guards against memory that grows with the ids that clients invent.
TEST(ExecutedRequestIds, KeepsTheNewestIdsUpToItsLimit) {
    ExecutedRequestIds ids;
    for (size_t k = 0; k <= ExecutedRequestIds::max_ids; ++k) ids.add(wire_id(k));
    ids.add(wire_id(1));  // a second time: keeps its place
    EXPECT_EQ(ids.size(), ExecutedRequestIds::max_ids);
    EXPECT_FALSE(ids.contains(wire_id(0)));
    EXPECT_TRUE(ids.contains(wire_id(1)));
    EXPECT_TRUE(ids.contains(wire_id(ExecutedRequestIds::max_ids)));
}

TEST(ExecutedRequestIds, StateRestoresIdsAndTheirOrder) {
    ExecutedRequestIds ids;
    ids.add("ffffffffffffffff");
    ids.add("000000000000000a");
    ExecutedRequestIds restored;
    restored.add(wire_id(7));
    restored.restore(ids.state());
    EXPECT_EQ(restored.state(), ids.state());
    EXPECT_TRUE(restored.contains("ffffffffffffffff"));
    EXPECT_FALSE(restored.contains(wire_id(7)));
}
