#include "proxy/discovery_watch.h"

#include <algorithm>
#include <utility>

namespace headrouter {

namespace {

constexpr int64_t ns_per_ms = 1'000'000;

}  // namespace

Address discovery_address(const BootstrapConfig& config) {
    const auto address = Address::from(config.discovery);
    if (address) return *address;
    throw ConfigError("", ParseError("the address of discovery, '" + config.discovery + "',",
                                     "is not HOST:PORT in numbers"));
}

DiscoveryWatch::DiscoveryWatch(struct ev_loop* loop, RequestRouter& router, const Clock& clock,
                               Counters& counters, Log& log)
    : loop_(loop),
      router_(router),
      clock_(clock),
      counters_(counters),
      log_(log),
      release_timer_(loop, [this] { release_drains(); }) {}

std::unique_ptr<WatchClient> DiscoveryWatch::make_client(const BootstrapConfig& config) {
    const bool is_shared = config.cluster.policy.polls_endpoints;
    const PollBackoff backoff(is_shared ? DiscoveryKind::shared_service : DiscoveryKind::local_agent,
                              config.cluster.max_poll_interval, config.seed);
    return std::make_unique<WatchClient>(
        loop_, discovery_address(config), config.discovery, router_.config(), clock_, backoff, counters_,
        log_, [this](const WatchClient& from, const EndpointUpdate& update) { on_update(from, update); });
}

void DiscoveryWatch::on_update(const WatchClient& from, const EndpointUpdate& update) {
    const bool next_has_answered = &from == next_.get();
    if (next_has_answered) {
        current_ = std::move(next_);
        drains_.change_address();
    }
    const EndpointUpdate applied = drains_.apply(update, Clock::now());
    router_.on_endpoints(update.is_snapshot ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta,
                         applied);
    schedule_release();
}

void DiscoveryWatch::release_drains() {
    const EndpointUpdate released = drains_.take_released(Clock::now());
    if (!released.entries.empty()) {
        log_.info("drains_released", {{"endpoints", released.entries.size()}});
        router_.on_endpoints(EndpointUpdateKind::delta, released);
    }
    schedule_release();
}

void DiscoveryWatch::schedule_release() {
    release_timer_.stop();
    if (const std::optional<TimePoint> next = drains_.next_release())
        release_timer_.start_once(*next - Clock::now());
}

void DiscoveryWatch::start(const BootstrapConfig& config, const InitialEndpointList& list) {
    current_ = make_client(config);
    if (list.version < 0)
        current_->start(list.staleness);
    else
        current_->start_from(list.version, list.staleness);
}

void DiscoveryWatch::switch_to(const BootstrapConfig& config) {
    EndpointStaleness staleness = EndpointStaleness::reconfigured(Clock::now());
    // Another reload before the address has answered gives no more time.
    const std::optional<TimePoint> stale_from = next_ ? next_->staleness().stale_from : std::nullopt;
    if (stale_from) staleness.limit(*stale_from);
    next_ = make_client(config);
    next_->start(staleness);
}

void DiscoveryWatch::stop() {
    current_.reset();
    next_.reset();
    release_timer_.stop();
}

bool DiscoveryWatch::is_outdated(TimePoint now) const {
    const auto is_client_outdated = [now](const std::unique_ptr<WatchClient>& client) {
        return client && client->is_stale(now);
    };
    return is_client_outdated(current_) || is_client_outdated(next_);
}

EndpointStaleness::State DiscoveryWatch::staleness() const {
    const EndpointStaleness::State current = current_->staleness();
    if (!next_) return current;
    const EndpointStaleness::State next = next_->staleness();
    EndpointStaleness both({std::min(current.confirmed_until, next.confirmed_until), current.stale_from});
    if (next.stale_from) both.limit(*next.stale_from);
    return both.state();
}

void DiscoveryWatch::log_outdated_list(TimePoint now) {
    const bool is_outdated_now = is_outdated(now);
    if (is_outdated_now == was_outdated_) return;
    was_outdated_ = is_outdated_now;
    if (!is_outdated_now) {
        log_.info("endpoint_list_current");
        return;
    }
    const bool is_of_next = next_ && next_->is_stale(now);
    const WatchClient& client = is_of_next ? *next_ : *current_;
    log_.warning("endpoint_list_outdated",
                 {{"address", is_of_next ? "next" : "current"},
                  {"version", client.version()},
                  {"confirmed_ms_ago", (now - client.staleness().confirmed_until).ns / ns_per_ms}});
}

}  // namespace headrouter
