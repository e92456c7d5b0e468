#include "app/action_diff.h"

#include <array>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <map>
#include <set>

#include "base/parse_error.h"

namespace headrouter {

namespace {

constexpr int64_t nanoseconds_per_second = 1'000'000'000;

/// Names of the actions on requests; the index is the action's number in the file. Other numbers are ignored.
constexpr std::array<const char*, 4> action_names{"placed", "rejected", "failed", "migrated"};
constexpr int placed = 0;

using ActionCounts = std::array<int64_t, action_names.size()>;

/// Holds the actions of one build.
struct ActionLog {
    std::map<int64_t, ActionCounts> by_second;
    std::map<std::string, int64_t> placements_by_server;
    std::map<uint64_t, std::string> first_server_by_request;
};

void add_action(ActionLog& log, int64_t at_ns, int action, uint64_t request, const std::string& server) {
    const bool is_known = action >= 0 && action < static_cast<int>(action_names.size());
    if (!is_known) return;
    ++log.by_second[at_ns / nanoseconds_per_second][static_cast<size_t>(action)];
    if (action != placed) return;
    ++log.placements_by_server[server];
    log.first_server_by_request.emplace(request, server);
}

ActionLog read_actions(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw ParseError("'" + path + "'", "cannot be read");
    ActionLog log;
    int64_t at_ns = 0;
    int action = 0;
    uint64_t request = 0;
    std::string server;
    while (in >> at_ns >> action >> request >> server) add_action(log, at_ns, action, request, server);
    return log;
}

/// Returns the value at `key`, or a default-constructed one if the key is absent.
template <class Map>
typename Map::mapped_type value_at(const Map& map, const typename Map::key_type& key) {
    const auto found = map.find(key);
    return found == map.end() ? typename Map::mapped_type{} : found->second;
}

/// Returns the union of the keys of both maps, in order.
template <class Map>
std::set<typename Map::key_type> keys_of(const Map& first, const Map& second) {
    std::set<typename Map::key_type> keys;
    for (const auto& entry : first) keys.insert(entry.first);
    for (const auto& entry : second) keys.insert(entry.first);
    return keys;
}

bool print_placements(const ActionLog& first, const ActionLog& second) {
    uint64_t placed_differently = 0;
    uint64_t only_first = 0;
    for (const auto& [request, server] : first.first_server_by_request) {
        const auto found = second.first_server_by_request.find(request);
        if (found == second.first_server_by_request.end())
            ++only_first;
        else if (found->second != server)
            ++placed_differently;
    }
    std::printf("%zu requests placed by the first build, %zu by the second; %" PRIu64
                " have another first server, %" PRIu64 " placed by the first build only\n",
                first.first_server_by_request.size(), second.first_server_by_request.size(),
                placed_differently, only_first);
    return placed_differently + only_first > 0;
}

bool print_seconds(const ActionLog& first, const ActionLog& second) {
    bool any_differs = false;
    for (const int64_t second_number : keys_of(first.by_second, second.by_second)) {
        const ActionCounts of_first = value_at(first.by_second, second_number);
        const ActionCounts of_second = value_at(second.by_second, second_number);
        for (size_t action = 0; action < action_names.size(); ++action) {
            if (of_first[action] == of_second[action]) continue;
            any_differs = true;
            std::printf("  second %" PRId64 ": %-8s %6" PRId64 " %6" PRId64 "\n", second_number,
                        action_names[action], of_first[action], of_second[action]);
        }
    }
    return any_differs;
}

bool print_servers(const ActionLog& first, const ActionLog& second) {
    bool any_differs = false;
    for (const std::string& server : keys_of(first.placements_by_server, second.placements_by_server)) {
        const int64_t of_first = value_at(first.placements_by_server, server);
        const int64_t of_second = value_at(second.placements_by_server, server);
        if (of_first == of_second) continue;
        any_differs = true;
        std::printf("  %-14s attempts %6" PRId64 " %6" PRId64 "\n", server.c_str(), of_first, of_second);
    }
    return any_differs;
}

}  // namespace

bool print_action_diff(const std::string& first_path, const std::string& second_path) {
    const ActionLog first = read_actions(first_path);
    const ActionLog second = read_actions(second_path);
    const bool placements_differ = print_placements(first, second);
    const bool seconds_differ = print_seconds(first, second);
    const bool servers_differ = print_servers(first, second);
    return placements_differ || seconds_differ || servers_differ;
}

}  // namespace headrouter
