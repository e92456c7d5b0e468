#include "affinity/group_table.h"

#include <algorithm>

namespace headrouter {

namespace {
// Added to the number of pairs of connections, so that the rate of pairs in the same group counts only after
// many pairs have been seen.
constexpr double prior_pairs = 40;
}  // namespace

const std::vector<GroupTable::Members>& GroupTable::servers_of(const std::string& group) const {
    static const std::vector<Members> none;
    const auto it = state_.groups.find(group);
    return it == state_.groups.end() ? none : it->second;
}

int GroupTable::members_on(const std::string& group, ServerIndex server) const {
    for (const Members& members : servers_of(group))
        if (members.server == server) return members.count;
    return 0;
}

int GroupTable::members_of(const std::string& group) const {
    int all = 0;
    for (const Members& members : servers_of(group)) all += members.count;
    return all;
}

// A balancer with few connections sees one connection of a group, whether the group has a tenth or a
// thousandth of all connections. How often two of its own connections are in the same group indicates how
// large groups are. Without such pairs, groups are taken to be small and have few preferred servers.
double GroupTable::size_uncertainty() const {
    return (state_.connections * (state_.connections - 1) / 2 + prior_pairs) / (state_.pairs + 1);
}

void GroupTable::change_count(const std::string& group, ServerIndex server, int by) {
    std::vector<Members>& servers = state_.groups[group];
    int other_members = std::min(by, 0);
    for (const Members& members : servers) other_members += members.count;
    state_.pairs += by * other_members;
    state_.connections += by;
    const auto it = std::find_if(servers.begin(), servers.end(),
                                 [&](const Members& members) { return members.server == server; });
    if (it == servers.end()) {
        servers.push_back({server, by});
    } else {
        it->count += by;
        if (it->count == 0) servers.erase(it);
    }
    if (servers.empty()) state_.groups.erase(group);
}

}  // namespace headrouter
