/// \file
/// The version of the serialized state that a running process transfers to the next one.
///
/// Two builds exchange their whole state (connections, requests, the policy's state) only if both have the
/// same version. Between different versions only the listening socket is handed over, and the clients of
/// the old process are migrated.
#pragma once
#include <string_view>

namespace headrouter::hot_restart {

/// Identifies a version of the serialized state: `number` is for people, `name` is what two processes
/// compare.
struct StateVersion {
    int number;
    std::string_view name;
};

/// The version that this build writes and reads.
///
/// **Raise it by hand, number and name, in the commit that changes the serialized state**: a field that is
/// added, removed, moved or given another type in the lists of `capture/event_fields.h`,
/// `capture/component_fields.h`, `capture/policy_form.h` or `hot_restart/balancer_state.cpp`, or a field
/// that keeps its place and changes its meaning. tests/hot_restart/test_state_form.cpp fails if the
/// version was not raised after a change of fields.
///
/// The name of version 1 is the text that builds up to commit 73c782f send: they used a hash of their
/// headers as the version. With the same name, upgrades from and downgrades to those builds keep every
/// connection. From version 2 on the names are "state-version-2" and so on.
///
/// Version 2 adds the time at which the endpoint list becomes stale, version 3 the ids of requests that must
/// not run again.
inline constexpr StateVersion state_version{3, "state-version-3"};

}  // namespace headrouter::hot_restart
