#include "affinity/group_table.h"

#include <algorithm>

namespace headrouter {

namespace {
// Pairs of connections, before it is believed how often two are in one group.
constexpr double least_pairs = 40;
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

// A balancer that holds few connections sees one of a group, whether the group is a tenth of all or a
// thousandth. How often two of its own belong together tells how large groups are; where it does not, the
// groups are small, and their preferred servers few.
double GroupTable::size_uncertainty() const {
    return (state_.connections * (state_.connections - 1) / 2 + least_pairs) / (state_.pairs + 1);
}

void GroupTable::change(const std::string& group, ServerIndex server, int by) {
    std::vector<Members>& servers = state_.groups[group];
    int others = std::min(by, 0);
    for (const Members& members : servers) others += members.count;
    state_.pairs += by * others;
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
