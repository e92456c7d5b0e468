// Tests that the records of a connection's request, server and affinity group stay consistent.
#include <gtest/gtest.h>

#include <vector>

#include "policy/connection_tracker.h"

namespace headrouter {
namespace {

class MigrationRecorder : public PolicyActions {
   public:
    void start_attempt(RequestId, const ServerId&, Duration) override { ADD_FAILURE(); }
    void reject(RequestId, Duration) override { ADD_FAILURE(); }
    void fail(RequestId) override { ADD_FAILURE(); }
    void migrate(RequestId id) override { migrated.push_back(id); }
    void set_timer(TimePoint, uint64_t) override { ADD_FAILURE(); }
    void watch_endpoints() override { ADD_FAILURE(); }
    void send_gossip(int, const std::string&) override { ADD_FAILURE(); }

    std::vector<RequestId> migrated;
};

class ConnectionTrackerTest : public testing::Test {
   protected:
    ConnectionTrackerTest() {
        config_.request_classes.resize(1);
        loads_.configure();
        servers_.begin_update();
        Endpoint endpoint;
        endpoint.server = "a";
        server_ = servers_.apply(endpoint).server;
        servers_.end_update(true);
    }

    RequestState& connect(RequestId id) {
        RequestState& request = requests_[id];
        request.id = id;
        request.group = "group";
        request.attempts.push_back(Attempt{server_, TimePoint{1}, true, false});
        connections_.add(server_, request);
        return request;
    }

    PolicyConfig config_;
    ServerTable servers_{config_};
    ServerLoads loads_{config_, servers_};
    decltype(ServerTable::Applied::server) server_{};
    GroupTable groups_;
    RequestTable requests_;
    MigrationRecorder actions_;
    ConnectionTracker connections_{{loads_, groups_, requests_, actions_}};
};

TEST_F(ConnectionTrackerTest, AddedConnectionIsCountedForServerAndGroup) {
    connect(1);
    connect(2);
    EXPECT_EQ(servers_[server_].connections, (std::vector<RequestId>{1, 2}));
    EXPECT_EQ(groups_.members_on("group", server_), 2);
}

TEST_F(ConnectionTrackerTest, RemovedConnectionIsReplacedByLastOne) {
    RequestState& first = connect(1);
    connect(2);
    const RequestState& last = connect(3);
    connections_.remove(first);
    EXPECT_EQ(servers_[server_].connections, (std::vector<RequestId>{3, 2}));
    EXPECT_EQ(last.connection_index, 0);
    EXPECT_FALSE(first.connection_index);
    EXPECT_EQ(groups_.members_on("group", server_), 2);
}

TEST_F(ConnectionTrackerTest, SecondRemovalHasNoEffect) {
    RequestState& request = connect(1);
    connections_.remove(request);
    connections_.remove(request);
    EXPECT_TRUE(servers_[server_].connections.empty());
    EXPECT_EQ(groups_.members_on("group", server_), 0);
}

TEST_F(ConnectionTrackerTest, MigratedRequestIsRemoved) {
    connections_.migrate(connect(1));
    EXPECT_EQ(actions_.migrated, (std::vector<RequestId>{1}));
    EXPECT_TRUE(requests_.empty());
    EXPECT_TRUE(servers_[server_].connections.empty());
}

}  // namespace
}  // namespace headrouter
