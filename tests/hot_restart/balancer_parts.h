// The parts of a balancer that a hot restart transfers, on an event loop that is not run, and helpers to read
// the recorded state.
#pragma once
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "capture/archive.h"
#include "downstream/downstream.h"
#include "hot_restart/transfer_state.h"
#include "policy_helpers.h"
#include "router/request_router.h"
#include "transport/clock.h"
#include "upstream/upstream.h"

namespace headrouter {

struct BalancerParts {
    explicit BalancerParts(struct ev_loop* event_loop)
        : loop(event_loop),
          log(log_text, LogLevel::error),
          closer(loop),
          downstream(loop, closer, 400, counters, log),
          upstream(loop, closer, counters, ReportClassifier(10)),
          router(config(), 1, downstream, upstream,
                 {&Clock::now, [](TimePoint, uint64_t) {}, [] { return std::optional<Counter>(); }}, counters,
                 log) {}

    static ClusterConfig config() {
        ClusterConfig config;
        config.policy = make_config();
        config.request_class_names = {"any"};
        return config;
    }
    hot_restart::Components all() {
        return {router, downstream, upstream, timers, list_version, list_source, list_staleness};
    }

    struct ev_loop* loop;
    std::ostringstream log_text;
    Log log;
    Counters counters;
    LingeringCloser closer;
    Downstream downstream;
    Upstream upstream;
    RequestRouter router;
    std::multimap<TimePoint, uint64_t> timers;
    int64_t list_version = 0;
    std::string list_source;
    EndpointStaleness::State list_staleness;
};

inline std::string read_whole(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    EXPECT_TRUE(in.good()) << path << " cannot be read";
    return {std::istreambuf_iterator<char>(in), {}};
}

// Returns the time at which `state` was packed; it follows the name of the version.
inline TimePoint packed_at(const std::string& state) {
    capture::ByteReader reader(state, "the state");
    std::string version;
    TimePoint at;
    capture::visit(reader, version);
    capture::visit(reader, at);
    return at;
}

inline std::vector<FileDescriptor> sockets(size_t count) {
    std::vector<FileDescriptor> sockets;
    for (size_t k = 0; k < count; ++k)
        sockets.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    return sockets;
}

}  // namespace headrouter
