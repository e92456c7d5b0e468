#include "discovery/watch_client.h"

#include <utility>

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
    : http_(loop, address, std::move(host), *this),
      config_(config),
      clock_(clock),
      backoff_(backoff),
      counters_(counters),
      log_(log),
      update_handler_(std::move(on_update)),
      pause_timer_(loop, [this] { request_update(); }),
      staleness_(Clock::now()) {}

void WatchClient::start() { request_update(); }

// The first request is both a fetch of the missing changes and the first watch: if a hundred balancers start
// together, a shared service rejects a second request of each.
void WatchClient::start_from(int64_t version) {
    version_ = version;
    has_list_ = true;
    request_update();
}

void WatchClient::request_update() {
    std::string target = "/v1/servers";
    Duration timeout = backoff_.response_timeout(!has_list_);
    if (has_list_) {
        const Duration watch_time = backoff_.watch_time();
        target +=
            "?since=" + std::to_string(version_) + "&timeout_ms=" + std::to_string(watch_time.ns / ns_per_ms);
        timeout = timeout + watch_time;
    }
    http_.get(target, timeout);
}

void WatchClient::fail(std::string_view reason, bool was_reached, Duration pause) {
    staleness_.on_request_failed(Clock::now(), was_reached);
    counters_.add(Counter::discovery_requests_failed);
    if (!is_failing_) log_.warning("discovery_request_failed", {{"reason", reason}});
    is_failing_ = true;
    http_.close();
    pause_timer_.start_once(pause);
}

void WatchClient::fail_unreachable(std::string_view reason, bool was_reached) {
    fail(reason, was_reached, backoff_.next_pause(PollFailure::unreachable));
}

void WatchClient::refetch_after(std::string_view reason) {
    has_list_ = false;
    fail_unreachable(reason, true);
}

void WatchClient::on_http_error(HttpError error, bool was_reached) {
    fail_unreachable(describe(error), was_reached);
}

void WatchClient::on_response(const HttpResponse& response) {
    if (response.status != status_ok) {
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
        refetch_after("the endpoint list is malformed");
        return;
    }
    on_update(update);
}

void WatchClient::on_update(const EndpointUpdate& update) {
    if (update.unreadable_entries > 0) {
        counters_.add(Counter::endpoint_updates_malformed);
        log_.warning("endpoints_unreadable", {{"endpoints", update.unreadable_entries}});
    }
    if (!update.is_snapshot && !has_list_) {
        fail_unreachable("received a delta in place of a snapshot", true);
        return;
    }
    if (!update.is_snapshot && update.version < version_) {
        // The service's version count has restarted: its delta may lack changes that this balancer has not
        // received.
        refetch_after("the version of the endpoint list decreased");
        return;
    }
    if (is_failing_) log_.info("discovery_recovered");
    is_failing_ = false;
    backoff_.on_success();
    staleness_.on_list_received(Clock::now());
    version_ = update.version;
    has_list_ = true;
    const bool is_empty = !update.is_snapshot && update.entries.empty();
    if (is_empty) {
        pause_timer_.start_once(pause_after_empty_update);
        return;
    }
    counters_.add(Counter::endpoint_updates);
    update_handler_(*this, update);
    request_update();
}

}  // namespace headrouter
