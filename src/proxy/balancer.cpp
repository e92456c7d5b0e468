#include "proxy/balancer.h"

#include <algorithm>
#include <system_error>
#include <utility>
#include <vector>

#include "config/json.h"
#include "proxy/config_reload.h"
#include "transport/clock.h"

namespace headrouter {

namespace {

constexpr Duration periodic_interval = millis(100);
constexpr double milliseconds_per_second = 1000;
/// Servers report latencies from a third of the shortest latency objective on.
constexpr double objective_per_min_reported_latency = 3;

/// Returns the smallest latency that servers report, in milliseconds; zero if servers report no latencies or
/// no request class has a latency objective.
double min_reported_latency(const ClusterConfig& config) {
    if (!config.reports_latency) return 0;
    double shortest = 0;
    for (const RequestClass& request_class : config.policy.request_classes) {
        const double objective = to_seconds(request_class.message_objective);
        const bool is_shorter = shortest <= 0 || objective < shortest;
        if (objective > 0 && is_shorter) shortest = objective;
    }
    return shortest * milliseconds_per_second / objective_per_min_reported_latency;
}

ConfigError unusable_setting(const char* field, const std::string& problem) {
    return {"", ParseError(json::field_name(field), "cannot be used: " + problem)};
}

Address configured_address(const char* field, const std::string& text) {
    const auto address = Address::from(text);
    if (!address) throw unusable_setting(field, "'" + text + "' is not HOST:PORT in numbers");
    return *address;
}

/// Makes `server` listen at the address `text`, the value of the setting `field`. Throws ConfigError if that
/// is impossible.
template <class Server>
void listen_at(const char* field, const std::string& text, Server& server) {
    const Address address = configured_address(field, text);
    try {
        server.listen(address);
    } catch (const std::system_error& error) {
        throw unusable_setting(field, error.what());
    }
}

}  // namespace

Balancer::Balancer(struct ev_loop* loop, const BootstrapConfig& config, const Clock& clock, Log& log)
    : loop_(loop),
      config_(config),
      clock_(clock),
      log_(log),
      limits_(config),
      timers_(loop, [this](uint64_t token) { router_.on_timer(token); }),
      client_closer_(loop),
      server_closer_(loop),
      downstream_(loop, client_closer_, limits_.descriptors(), counters_, log),
      upstream_(loop, server_closer_, counters_, ReportClassifier(min_reported_latency(config.cluster))),
      gossip_(loop, counters_),
      router_(config.cluster, config.seed, downstream_, upstream_, router_environment(), counters_, log),
      admin_server_(loop, admin_commands_, counters_),
      discovery_(loop, router_, clock_, counters_, log),
      capture_(router_, counters_, log),
      shutdown_({router_, downstream_, client_closer_, server_closer_}),
      hot_restart_(loop, config_, {router_, downstream_, upstream_, timers_, discovery_, gossip_},
                   {[this] { return is_serving(); }, [this] { apply_restored_configuration(); },
                    [this](int descriptors) { set_held_by_previous_process(descriptors); }},
                   log),
      // The lowest priority lets the loop handle pending socket events first: bytes that have already arrived
      // are read before a client or server is judged late or silent.
      periodic_tasks_(
          loop, [this] { run_periodic_tasks(); }, EV_MINPRI) {
    add_admin_commands();
    downstream_.set_event_handler(router_);
    upstream_.set_event_handler(router_);
    gossip_.set_event_handler(router_);
    router_.set_gossip(gossip_);
}

RouterEnvironment Balancer::router_environment() {
    return {&Clock::now, [this](TimePoint due, uint64_t token) { timers_.set(due, token); },
            [this] { return find_shortage(); }, [this] { return is_endpoint_list_outdated(); }};
}

void Balancer::add_admin_commands() {
    admin_commands_.add("STATUS", [this] { return status(); });
    admin_commands_.add("METRICS", [this] { return metrics(); });
}

// ---- start ----

void Balancer::start() {
    static_cast<void>(discovery_address(config_));
    static_cast<void>(configured_address("listen", config_.listen));
    listen_on_admin_address();
    InitialEndpointList list{cached_list_version(), cached_list_staleness()};
    if (hot_restart_.connect_to_previous()) {
        list = hot_restart_.take_over(list);
    } else {
        router_.on_endpoints(EndpointUpdateKind::cached, config_.cached_endpoints);
        listen_at("listen", config_.listen, downstream_);
    }
    discovery_.start(config_, list);
    open_gossip_at_start();
    hot_restart_.listen_for_next();
    started_ = true;
    timers_.start();
    periodic_tasks_.start_repeating(periodic_interval);
    log_.info("listening", {{"address", config_.listen},
                            {"descriptors", limits_.descriptors()},
                            {"cached_endpoints", config_.cached_endpoints.entries.size()}});
}

void Balancer::listen_on_admin_address() {
    if (!config_.admin.empty()) listen_at("ops", config_.admin, admin_server_);
}

// Where discovery pushes changes, the balancer requests a full snapshot: it costs nothing and is more
// reliable than the cached list plus the deltas since. Only where the balancer polls does it request deltas
// from the cached version on.
int64_t Balancer::cached_list_version() const {
    const bool has_cached_list = !config_.cached_endpoints.entries.empty();
    const bool polls = config_.cluster.policy.polls_endpoints;
    return has_cached_list && polls ? config_.cached_endpoints.version : no_endpoint_list;
}

// The cached list may be old, and nothing says how old: changes that it lacks may count as known from the
// first moment of this process, whether discovery has not answered yet, rejects requests or is unreachable.
EndpointStaleness Balancer::cached_list_staleness() const {
    const TimePoint now = Clock::now();
    const ClusterConfig& cluster = config_.cluster;
    const bool has_cached_list = !config_.cached_endpoints.entries.empty();
    if (!has_cached_list || !cluster.drain_grace) return EndpointStaleness(now);
    return EndpointStaleness::unconfirmed(now, now + unconfirmed_use_time(*cluster.drain_grace));
}

void Balancer::open_gossip(const BootstrapConfig& config) {
    if (config.gossip_addresses.empty()) {
        gossip_.close();
        return;
    }
    std::vector<Address> addresses;
    for (const std::string& text : config.gossip_addresses)
        addresses.push_back(configured_address("peers", text));
    gossip_.open(addresses, static_cast<int>(config.cluster.policy.replica_index));
}

// The previous process may still have the gossip address bound, or it may hang, and two processes must never
// send gossip under the same replica index. Gossip only improves placement, so this process serves without it
// and tries to bind again in run_periodic_tasks().
void Balancer::open_gossip_at_start() {
    if (config_.gossip_without_peers)
        log_.warning("gossip_disabled",
                     {{"reason", "'ceilings.peers' permits gossip, but field 'peers' is missing"}});
    try {
        open_gossip(config_);
    } catch (const std::system_error& error) {
        if (hot_restart_.has_previous()) return;
        const bool is_address_taken = error.code() == std::errc::address_in_use;
        if (!is_address_taken) throw unusable_setting("peers.own", error.what());
        log_.warning("gossip_unavailable",
                     {{"address", config_.own_gossip_address}, {"error", error.what()}});
    }
}

// ---- reload ----

void Balancer::reload(const BootstrapConfig& next) {
    if (hot_restart_.has_handed_over())
        throw ConfigError("", ParseError("cannot reload: another process has taken over by a hot restart"));
    check_reload(config_, next);
    try {
        open_gossip(next);
    } catch (const std::system_error& error) {
        throw unusable_setting("peers.own", error.what());
    }
    if (changes_fixed_settings(config_, next))
        log_.warning("settings_kept", {{"fields", "name,listen,ops"}, {"until", "the next start"}});
    config_ = with_fixed_settings(config_, next);
    config_.cluster.policy.wall_clock_offset = clock_.wall_clock_offset();
    limits_.configure(config_);
    downstream_.set_descriptor_limit(limits_.available_descriptors());
    router_.reconfigure(config_.cluster);
    apply_min_reported_latency();
    discovery_.switch_to(config_);
    counters_.add(Counter::reloads);
    log_.info("config_reloaded", {{"discovery", config_.discovery}, {"descriptors", limits_.descriptors()}});
}

void Balancer::refuse_reload(const std::string& reason) {
    counters_.add(Counter::reloads_refused);
    log_.error("config_reload_refused", {{"reason", reason}});
}

// The restored policy state was computed with the previous process's offset of the wall clock. With another
// offset each server that has a start time would look restarted, or older than it is.
void Balancer::apply_restored_configuration() {
    const Duration offset = router_.wall_clock_offset();
    clock_.set_wall_clock_offset(offset);
    config_.cluster.policy.wall_clock_offset = offset;
    router_.reconfigure(config_.cluster);
    apply_min_reported_latency();
}

void Balancer::apply_min_reported_latency() {
    upstream_.set_min_reported_latency(min_reported_latency(router_.config()));
}

void Balancer::set_held_by_previous_process(int descriptors) {
    limits_.set_held_by_previous_process(descriptors);
    downstream_.set_descriptor_limit(limits_.available_descriptors());
}

// ---- while it serves ----

void Balancer::run_periodic_tasks() {
    const TimePoint now = Clock::now();
    upstream_.check_silence(now);
    downstream_.close_expired(now);
    router_.on_tick();
    admin_server_.time_out_idle(now);
    hot_restart_.report_descriptors(FileDescriptor::open_count());
    if (!hot_restart_.has_handed_over() && !gossip_.is_open()) {
        try {
            open_gossip(config_);
        } catch (const std::system_error&) {
            // Logged at the start, unless it was a hot restart. The next interval tries again.
        }
    }
    capture_.check(now);
    discovery_.log_outdated_list(now);
    if (shutdown_.advance(now, hot_restart_.has_handed_over())) ev_break(loop_, EVBREAK_ALL);
}

std::optional<Counter> Balancer::find_shortage() {
    downstream_.free_descriptors(ResourceLimits::descriptors_per_request +
                                 ResourceLimits::reserved_descriptors);
    return limits_.shortage();
}

// The list is outdated after a start, see cached_list_staleness(), or if discovery answers without a list:
// where many balancers poll one service, their requests queue up and one of them may receive a change late.
bool Balancer::is_endpoint_list_outdated() const { return discovery_.is_outdated(Clock::now()); }

std::string Balancer::status() const {
    if (router_.metrics().discovered == 0) return "error no server is known yet\r\n";
    const bool accepts_clients = is_serving() && !hot_restart_.has_handed_over();
    return accepts_clients ? "done\r\n" : "error this process takes no clients\r\n";
}

std::string Balancer::metrics() const { return admin::to_json(router_.metrics()) + "\r\nend\r\n"; }

void Balancer::begin_graceful_shutdown() { shutdown_.begin(config_.cluster, hot_restart_.has_handed_over()); }

}  // namespace headrouter
