#include "discovery/poll_connection.h"

#include <utility>

#include "transport/clock.h"

namespace headrouter {

namespace {

constexpr int64_t ns_per_ms = 1'000'000;

std::string target_of(const PollRequest& request) {
    std::string path = "/v1/servers";
    if (request.since == unknown_list_version) return path;
    return path + "?since=" + std::to_string(request.since) +
           "&timeout_ms=" + std::to_string(request.watch_time.ns / ns_per_ms);
}

}  // namespace

PollConnection::PollConnection(struct ev_loop* loop, const Address& address, std::string host,
                               PollConnectionEvents& events)
    : http_(loop, address, std::move(host), *this), events_(events) {}

void PollConnection::send(const PollRequest& request, Duration timeout) {
    sent_at_ = Clock::now();
    since_ = request.since;
    http_.get(target_of(request), timeout);
}

}  // namespace headrouter
