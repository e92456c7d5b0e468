#include "transport/lingering_closer.h"

#include "transport/clock.h"

namespace headrouter {

namespace {
constexpr Duration check_interval = seconds(0.2);
// Longest time that a connection may linger, normally and while there are more connections than the limit.
// The shorter time still lets the peer read its reply before the connection is closed.
constexpr Duration max_linger = seconds(2);
constexpr Duration max_linger_over_limit = millis(100);
}  // namespace

LingeringCloser::LingeringCloser(struct ev_loop* loop)
    : timer_(loop, [this] { close_expired(); }), before_wait_(loop, [this] { close_expired(); }) {
    timer_.start_repeating(check_interval);
    timer_.run_in_background();
    before_wait_.start();
    before_wait_.run_in_background();
}

LingeringCloser::~LingeringCloser() {
    for (const LingeringConnection& lingering : connections_) lingering.connection->close_now();
}

void LingeringCloser::add(std::unique_ptr<LineConnection> connection) {
    if (connection) connections_.push_back({std::move(connection), Clock::now()});
}

void LingeringCloser::close_expired() {
    const TimePoint now = Clock::now();
    size_t remaining = connections_.size();
    connections_.remove_if([&](const LingeringConnection& lingering) {
        LineConnection& connection = *lingering.connection;
        const bool over_limit = max_connections_ > 0 && remaining > max_connections_;
        const Duration allowed = over_limit ? max_linger_over_limit : max_linger;
        if (!connection.is_closed() && now - lingering.since >= allowed) connection.close_now();
        if (!connection.is_closed()) return false;
        --remaining;
        return true;
    });
}

bool LingeringCloser::evict_oldest() {
    // A connection with unsent bytes would lose them, so it is closed only if there is no other candidate.
    for (const bool may_lose_bytes : {false, true}) {
        for (const LingeringConnection& lingering : connections_) {
            LineConnection& connection = *lingering.connection;
            if (connection.is_closed() || (connection.unsent_bytes() > 0 && !may_lose_bytes)) continue;
            connection.close_now();
            return true;
        }
    }
    return false;
}

}  // namespace headrouter
