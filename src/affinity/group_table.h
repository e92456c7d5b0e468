/// Which servers have how many of this balancer's connections of each affinity group.
#pragma once
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/server_index.h"

namespace headrouter {

/// Counts the members of affinity groups by server, and how often two connections are in one group.
class GroupTable {
   public:
    struct Members {
        ServerIndex server;
        int count = 0;
    };

    struct State {
        std::unordered_map<std::string, std::vector<Members>> groups;  ///< looked up only: in no order
        double connections = 0;                                        ///< of all groups
        double pairs = 0;  ///< pairs of connections that are in one group
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    void add(const std::string& group, ServerIndex server) { change(group, server, 1); }
    /// Takes one away that was added.
    void remove(const std::string& group, ServerIndex server) { change(group, server, -1); }
    /// The servers that have members of the group, in the order in which they got the first; may be empty.
    const std::vector<Members>& servers_of(const std::string& group) const;
    int members_on(const std::string& group, ServerIndex server) const;
    int members_of(const std::string& group) const;
    /// How many connections this balancer would need before its own counts told how large a group is:
    /// infinite doubt if no two of many are in one group, near none if most are (Ewens' sampling formula).
    double size_uncertainty() const;

   private:
    void change(const std::string& group, ServerIndex server, int by);

    State state_;
};

}  // namespace headrouter
