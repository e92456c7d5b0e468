/// Counts this balancer's connections of each affinity group on each server.
#pragma once
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/server_index.h"

namespace headrouter {

/// Counts the members of affinity groups by server, and the pairs of connections that are in the same group.
class GroupTable {
   public:
    struct Members {
        ServerIndex server;
        int count = 0;
    };

    struct State {
        std::unordered_map<std::string, std::vector<Members>> groups;  ///< unordered: only looked up by name
        double connections = 0;                                        ///< number in all groups
        double pairs = 0;  ///< pairs of connections that are in the same group
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    void add(const std::string& group, ServerIndex server) { change_count(group, server, 1); }
    /// Removes a member that was added.
    void remove(const std::string& group, ServerIndex server) { change_count(group, server, -1); }
    /// Returns the servers with members of the group, in the order in which each got its first. May be empty.
    const std::vector<Members>& servers_of(const std::string& group) const;
    int members_on(const std::string& group, ServerIndex server) const;
    int members_of(const std::string& group) const;
    /// Returns the number of connections that this balancer would need for its own counts to show how large a
    /// group is (Ewens' sampling formula). The number grows without bound with the connections while no two
    /// of them are in the same group, and is close to 1 if most of many are.
    double size_uncertainty() const;

   private:
    /// Adds `by`, 1 or -1, to the group's members on the server.
    void change_count(const std::string& group, ServerIndex server, int by);

    State state_;
};

}  // namespace headrouter
