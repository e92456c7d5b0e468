// Tests ServerIndex, the index of a server at this balancer.
#include <gtest/gtest.h>

#include <optional>
#include <type_traits>
#include <unordered_set>
#include <vector>

#include "base/server_index.h"

using namespace headrouter;

TEST(ServerIndex, ConvertsToAndFromIntegersOnlyExplicitly) {
    static_assert(!std::is_convertible_v<int, ServerIndex> && !std::is_convertible_v<ServerIndex, int>);
    static_assert(!std::is_convertible_v<size_t, ServerIndex> && !std::is_convertible_v<ServerIndex, size_t>);
    EXPECT_EQ(ServerIndex{7}.value(), 7u);
    EXPECT_EQ(ServerIndex{size_t{7}}.to_int(), 7);
    EXPECT_EQ(sizeof(ServerIndex), 4u);
}

TEST(ServerIndex, ComparesAndHashesByNumber) {
    EXPECT_EQ(ServerIndex{3}, ServerIndex{size_t{3}});
    EXPECT_LT(ServerIndex{3}, ServerIndex{4});
    const std::unordered_set<ServerIndex> servers{ServerIndex{3}, ServerIndex{4}, ServerIndex{3}};
    EXPECT_EQ(servers.size(), 2u);
}

TEST(ServerIndex, NoServerDiffersFromEveryServer) {
    const std::optional<ServerIndex> none;
    EXPECT_NE(ServerIndex{0}, none);
    EXPECT_NE(ServerIndex{-1}, none);
}

TEST(ServerIndexRange, IteratesOverTheFirstIndexesInOrder) {
    std::vector<ServerIndex> seen;
    for (const ServerIndex server : ServerIndexRange{3}) seen.push_back(server);
    EXPECT_EQ(seen, (std::vector<ServerIndex>{ServerIndex{0}, ServerIndex{1}, ServerIndex{2}}));
    for (const ServerIndex server : ServerIndexRange{0}) FAIL() << server.value();
}
