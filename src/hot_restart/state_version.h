/// \file
/// The version of the form in which a running process hands its whole state to the next one.
///
/// Two builds exchange their whole state (connections, requests, the policy's state) only if they name the
/// same version; between different versions only the listening socket is handed over, and the clients of the
/// old process are migrated.
#pragma once
#include <string_view>

namespace headrouter::hot_restart {

/// A version of the state's form: its number, for people, and its name, which the two processes compare.
struct StateVersion {
    int number;
    std::string_view name;
};

/// The version that this build writes and reads.
///
/// **Raise it by hand, number and name, in the commit that changes the form**: a field that is added,
/// removed, moved or given another type in the lists of `capture/event_fields.h`,
/// `capture/component_fields.h`, `capture/policy_form.h` or `hot_restart/balancer_state.cpp`, or another
/// meaning of a field that keeps its place. tests/hot_restart/test_state_form.cpp fails where that was
/// forgotten.
///
/// Version 1 is named by the very text that the builds sent which hashed their headers in place of a version
/// (commit 73c782f), so that upgrades from and back to them keep every connection. From version 2 on the name
/// is "state-version-2" and so on.
inline constexpr StateVersion state_version{
    1, "ec6d23fa37f0bb6f2bc5a9b67f7ab33eb754bbf05c81876dedf6d7df3d126070"};

}  // namespace headrouter::hot_restart
