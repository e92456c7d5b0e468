// Which servers have how many of this balancer's connections of each affinity group.
#pragma once
#include <string>
#include <unordered_map>
#include <vector>

#include "base/server_index.h"

namespace headrouter {

struct StateAccess;

/// Counts the members of affinity groups by server, and how often two connections are in one group.
class GroupTable {
   public:
    struct Members {
        ServerIndex server;
        int count = 0;
    };

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
    friend struct StateAccess;
    friend struct PolicyInspector;
    void change(const std::string& group, ServerIndex server, int by);

    std::unordered_map<std::string, std::vector<Members>> groups_;  // looked up only: its order is arbitrary
    double connections_ = 0, pairs_ = 0;  // in groups; pairs of them that are in one group
};

}  // namespace headrouter
