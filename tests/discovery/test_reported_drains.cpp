/// Tests which drains of an earlier discovery address are kept, and for how long.
#include "discovery/reported_drains.h"
#include "policy_helpers.h"

namespace headrouter {
namespace {

constexpr TimePoint start{1'000'000'000'000};

EndpointUpdate make_update(bool is_snapshot, std::vector<Endpoint> endpoints) {
    EndpointUpdate update;
    update.is_snapshot = is_snapshot;
    for (Endpoint& endpoint : endpoints) update.entries.push_back({std::move(endpoint), std::nullopt});
    return update;
}

Endpoint endpoint_in_state(const std::string& id, EndpointState state,
                           std::optional<TimePoint> launched = {}) {
    Endpoint endpoint;
    endpoint.server = id;
    endpoint.state = state;
    endpoint.launched = launched;
    return endpoint;
}

EndpointState state_after(ReportedDrains& drains, const Endpoint& listed, TimePoint now) {
    return drains.apply(make_update(true, {listed}), now).entries[0].endpoint.state;
}

TEST(ReportedDrains, DrainOfAnEarlierAddressIsKeptForSixSecondsFromItsReport) {
    for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
        ReportedDrains drains;
        drains.apply(make_update(true, {endpoint_in_state("s", state)}), start);
        drains.change_address();
        const Endpoint active = endpoint_in_state("s", EndpointState::active);
        EXPECT_EQ(state_after(drains, active, start + seconds(2)), EndpointState::draining);
        EXPECT_EQ(state_after(drains, active, start + seconds(5)), EndpointState::draining);  // not prolonged
        EXPECT_EQ(drains.next_release(), start + seconds(6));
        EXPECT_TRUE(drains.take_released(start + seconds(5.9)).entries.empty());
        const EndpointUpdate released = drains.take_released(start + seconds(6));
        ASSERT_EQ(released.entries.size(), 1u);
        EXPECT_EQ(released.entries[0].endpoint.state, EndpointState::active);
        EXPECT_EQ(drains.next_release(), std::nullopt);
        EXPECT_EQ(state_after(drains, active, start + seconds(7)), EndpointState::active);
    }
}

TEST(ReportedDrains, EndpointThatASnapshotNoLongerNamesCountsAsRemoved) {
    ReportedDrains drains;
    const Endpoint active = endpoint_in_state("s", EndpointState::active);
    drains.apply(make_update(true, {active}), start);
    drains.apply(make_update(true, {}), start + seconds(1));
    drains.change_address();
    EXPECT_EQ(state_after(drains, active, start + seconds(6.9)), EndpointState::draining);
    EXPECT_EQ(drains.next_release(), start + seconds(7));
}

TEST(ReportedDrains, AddressMayTakeBackItsOwnDrain) {
    ReportedDrains drains;
    const Endpoint active = endpoint_in_state("s", EndpointState::active);
    drains.apply(make_update(true, {endpoint_in_state("s", EndpointState::draining)}), start);
    EXPECT_EQ(state_after(drains, active, start + seconds(1)), EndpointState::active);
    // Also the new address, once it has reported the drain itself.
    drains.apply(make_update(false, {endpoint_in_state("s", EndpointState::draining)}), start + seconds(2));
    drains.change_address();
    drains.apply(make_update(true, {endpoint_in_state("s", EndpointState::draining)}), start + seconds(3));
    EXPECT_EQ(state_after(drains, active, start + seconds(4)), EndpointState::active);
}

TEST(ReportedDrains, RestartedEndpointIsNotHeld) {
    ReportedDrains drains;
    drains.apply(make_update(true, {endpoint_in_state("s", EndpointState::draining, start)}), start);
    drains.change_address();
    const Endpoint same = endpoint_in_state("s", EndpointState::active, start);
    const Endpoint restarted = endpoint_in_state("s", EndpointState::active, start + seconds(1));
    EXPECT_EQ(state_after(drains, same, start + seconds(1)), EndpointState::draining);
    EXPECT_EQ(state_after(drains, restarted, start + seconds(2)), EndpointState::active);
    EXPECT_EQ(drains.next_release(), std::nullopt);
}

}  // namespace
}  // namespace headrouter
