#include "discovery/late_polls.h"

#include <utility>

#include "discovery/propagation_allowance.h"

namespace headrouter {

namespace {

// The kept requests are this far apart, so a slow service answers one of them at most this much later than it
// would have answered the dropped ones.
constexpr Duration min_interval = seconds(1);
// Later answers bring only what counts as known. The oldest request is kept longer, so that an agent which is
// slower than that is still heard.
constexpr Duration max_age = propagation_allowance + min_interval;

}  // namespace

void LatePolls::add(std::unique_ptr<PollConnection> connection, TimePoint now) {
    remove_expired(now);
    const bool is_near_previous =
        !connections_.empty() && connection->sent_at() - connections_.back()->sent_at() < min_interval;
    if (!is_near_previous) connections_.push_back(std::move(connection));
}

void LatePolls::close_all() {
    for (const std::unique_ptr<PollConnection>& connection : connections_) connection->close();
}

void LatePolls::remove_expired(TimePoint now) {
    std::erase_if(connections_, [](const std::unique_ptr<PollConnection>& connection) {
        return !connection->is_waiting();
    });
    bool is_oldest = true;
    std::erase_if(connections_, [&](const std::unique_ptr<PollConnection>& connection) {
        const bool is_expired = !is_oldest && now - connection->sent_at() > max_age;
        is_oldest = false;
        return is_expired;
    });
}

}  // namespace headrouter
