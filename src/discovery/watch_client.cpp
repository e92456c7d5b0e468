#include "discovery/watch_client.h"

#include <algorithm>
#include <utility>

#include "transport/clock.h"

namespace headrouter {

namespace {

constexpr unsigned status_ok = 200;
constexpr int64_t ns_per_ms = 1'000'000;
// An agent that answers watches at once with an empty delta must not keep the balancer busy.
constexpr Duration pause_after_empty_update = millis(20);

}  // namespace

WatchClient::WatchClient(struct ev_loop* loop, const Address& address, std::string host,
                         const ClusterConfig& config, const Clock& clock, PollBackoff backoff,
                         Counters& counters, Log& log, UpdateHandler on_update)
    : loop_(loop),
      address_(address),
      host_(std::move(host)),
      config_(config),
      clock_(clock),
      backoff_(backoff),
      counters_(counters),
      log_(log),
      update_handler_(std::move(on_update)),
      pause_timer_(loop, [this] { request_update(); }),
      overdue_timer_(loop, [this] { on_overdue(); }) {}

void WatchClient::start(const EndpointStaleness& staleness) {
    staleness_ = staleness;
    request_update();
}

// The first request is both a fetch of the missing changes and the first watch: if a hundred balancers start
// together, a shared service rejects a second request of each.
void WatchClient::start_from(int64_t version, const EndpointStaleness& staleness) {
    staleness_ = staleness;
    version_ = version;
    has_list_ = true;
    request_update();
}

void WatchClient::request_update() {
    PollRequest request;
    Duration timeout = backoff_.response_timeout(!has_list_);
    if (has_list_) {
        request = {version_, backoff_.watch_time()};
        timeout = timeout + request.watch_time;
    }
    if (!current_) {
        PollConnectionEvents& events = *this;
        current_ = std::make_unique<PollConnection>(loop_, address_, host_, events);
    }
    overdue_timer_.start_once(timeout);
    current_->send(request, std::max(timeout, PollBackoff::late_response_timeout()));
}

void WatchClient::on_overdue() {
    const bool was_reached = current_->was_reached();
    late_polls_.add(std::move(current_), Clock::now());
    fail_unreachable(describe(HttpError::timed_out), was_reached);
}

void WatchClient::fail(std::string_view reason, bool was_reached, Duration pause) {
    staleness_.on_request_failed(Clock::now(), was_reached);
    counters_.add(Counter::discovery_requests_failed);
    if (!is_failing_) log_.warning("discovery_request_failed", {{"reason", reason}});
    is_failing_ = true;
    overdue_timer_.stop();
    if (current_) current_->close();
    pause_timer_.start_once(pause);
}

void WatchClient::fail_unreachable(std::string_view reason, bool was_reached) {
    fail(reason, was_reached, backoff_.next_pause(PollFailure::unreachable));
}

// Late responses refer to the list that is now in doubt, so they are dropped.
void WatchClient::refetch_after(std::string_view reason) {
    has_list_ = false;
    late_polls_.close_all();
    fail_unreachable(reason, true);
}

// The failure of an overdue request was recorded when it became overdue. That discovery was reached is new:
// it may have answered other balancers.
void WatchClient::on_late_failure(PollConnection& connection) {
    staleness_.on_late_failure(connection.sent_at());
    connection.close();
}

void WatchClient::on_error(PollConnection& connection, HttpError error, bool was_reached) {
    if (is_late(connection)) {
        if (was_reached) on_late_failure(connection);
        return;
    }
    fail_unreachable(describe(error), was_reached);
}

void WatchClient::on_response(PollConnection& connection, const HttpResponse& response) {
    if (is_late(connection)) {
        counters_.add(Counter::discovery_responses_late);
        const Duration age = Clock::now() - connection.sent_at();
        log_.debug("discovery_response_late",
                   {{"after_ms", age.ns / ns_per_ms}, {"status", response.status}});
    } else {
        overdue_timer_.stop();
    }
    if (response.status != status_ok) {
        if (is_late(connection)) return on_late_failure(connection);
        fail("the response status is not 200", true,
             backoff_.next_pause(PollFailure::rejected, response.retry_after));
        return;
    }
    EndpointUpdate update;
    try {
        update = parse_endpoint_update(response.body, config_, clock_);
    } catch (const ParseError& error) {
        counters_.add(Counter::endpoint_updates_malformed);
        log_.warning("endpoint_list_malformed", {{"reason", error.what()}});
        // The snapshot also contains the changes that this response failed to deliver.
        if (is_late(connection)) return on_late_failure(connection);
        refetch_after("the endpoint list is malformed");
        return;
    }
    on_update(connection, update);
}

void WatchClient::on_update(PollConnection& connection, const EndpointUpdate& update) {
    if (update.unreadable_entries > 0) {
        counters_.add(Counter::endpoint_updates_malformed);
        log_.warning("endpoints_unreadable", {{"endpoints", update.unreadable_entries}});
    }
    const bool lacks_snapshot = !update.is_snapshot && !has_list_;
    const bool is_older = has_list_ && update.version < version_;
    // A late response may have reported newer changes meanwhile.
    const bool is_overtaken = is_older && (is_late(connection) || connection.since() != version_);
    if (is_late(connection)) {
        connection.close();
        if (lacks_snapshot || is_overtaken) return;
        backoff_.on_late_success();
        accept(update);
        return;
    }
    if (lacks_snapshot) {
        fail_unreachable("received a delta in place of a snapshot", true);
        return;
    }
    if (is_older && !is_overtaken) {
        // The service's version count has restarted: late responses count by the old one, and a delta may
        // lack changes that this balancer has not received.
        if (!update.is_snapshot) return refetch_after("the version of the endpoint list decreased");
        late_polls_.close_all();
    }
    if (is_failing_) log_.info("discovery_recovered");
    is_failing_ = false;
    if (!is_overtaken) backoff_.on_success();
    const bool has_changes = !is_overtaken && accept(update);
    if (has_changes)
        request_update();
    else
        pause_timer_.start_once(pause_after_empty_update);
}

bool WatchClient::accept(const EndpointUpdate& update) {
    staleness_.on_list_received(Clock::now());
    version_ = update.version;
    has_list_ = true;
    const bool is_empty = !update.is_snapshot && update.entries.empty();
    if (is_empty) return false;
    counters_.add(Counter::endpoint_updates);
    update_handler_(*this, update);
    return true;
}

}  // namespace headrouter
