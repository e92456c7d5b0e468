#include "proxy/hot_restart_coordinator.h"

#include <system_error>
#include <utility>

#include "transport/clock.h"

namespace headrouter {

namespace {

constexpr int64_t nanoseconds_per_microsecond = 1000;

const char* scope_name(bool with_state) { return with_state ? "all" : "listener"; }

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(struct ev_loop* loop, const BootstrapConfig& config,
                                             Components components, Hooks hooks, Log& log)
    : loop_(loop),
      config_(config),
      components_(components),
      hooks_(std::move(hooks)),
      log_(log),
      parent_(loop, callbacks(), log) {}

HotRestartParent::Callbacks HotRestartCoordinator::callbacks() {
    return {[this] { return hooks_.is_serving(); },
            [this] { return components_.downstream.listener_descriptor(); }, [this] { return pack(); },
            [this](bool with_state) { hand_over(with_state); }, [this] { resume(); }};
}

// ---- takeover from the previous process ----

bool HotRestartCoordinator::connect_to_previous() {
    child_ = HotRestartChild::connect_to_parent(socket_path(), log_);
    return child_ != nullptr;
}

// All state is restored before the takeover is confirmed, which lets the previous process release its own.
InitialEndpointList HotRestartCoordinator::take_over(const InitialEndpointList& cached_list) {
    const TimePoint start = Clock::now();
    InitialEndpointList list = cached_list;
    if (child_->has_state())
        list = restore_state();
    else
        components_.router.on_endpoints(EndpointUpdateKind::cached, config_.cached_endpoints);
    components_.downstream.adopt_listener(child_->take_listener());
    if (!child_->confirm_takeover())
        throw HotRestartError(
            "the previous process did not confirm that it released the listener and its state");
    child_->watch_parent(loop_, hooks_.on_previous_process_descriptors);
    log_.info("hot_restart_taken_over",
              {{"scope", scope_name(child_->has_state())},
               {"microseconds", (Clock::now() - start).ns / nanoseconds_per_microsecond},
               {"clients", components_.downstream.size()},
               {"attempts", components_.upstream.size()}});
    return list;
}

InitialEndpointList HotRestartCoordinator::restore_state() {
    int64_t list_version = no_endpoint_list;
    std::string list_source;
    EndpointStaleness::State list_staleness;
    components_.timers.pending().clear();  // the restored state contains the policy's timers
    try {
        hot_restart::unpack({components_.router, components_.downstream, components_.upstream,
                             components_.timers.pending(), list_version, list_source, list_staleness},
                            child_->state(), child_->take_connections(), Clock::now());
    } catch (const ParseError& error) {
        throw HotRestartError(error.what());
    }
    const bool has_same_source = list_source == config_.discovery;
    // Versions of different sources are not comparable.
    if (!has_same_source) list_version = no_endpoint_list;
    hooks_.apply_configuration();
    return {list_version, EndpointStaleness(list_staleness)};
}

// ---- handover to the next process ----

void HotRestartCoordinator::listen_for_next() {
    const std::string path = socket_path();
    if (path.empty()) return;
    try {
        parent_.listen(path);
    } catch (const std::system_error& error) {
        log_.warning("hot_restart_unavailable", {{"path", path}, {"error", error.code().message()}});
    }
}

hot_restart::TransferState HotRestartCoordinator::pack() {
    int64_t list_version = components_.discovery.version();
    list_staleness_ = components_.discovery.staleness();
    std::string list_source = config_.discovery;
    return hot_restart::pack({components_.router, components_.downstream, components_.upstream,
                              components_.timers.pending(), list_version, list_source, list_staleness_},
                             Clock::now());
}

// This process still closes the connections of clients that have already been answered.
void HotRestartCoordinator::hand_over(bool with_state) {
    has_handed_over_ = true;
    components_.gossip.close();
    components_.downstream.pause_accepting(true);
    log_.info("hot_restart_passed_on",
              {{"scope", scope_name(with_state)}, {"clients", components_.downstream.size()}});
    if (!with_state) return;
    components_.downstream.detach_all();
    components_.upstream.detach_all();
    components_.router.detach_all();
    components_.discovery.stop();
    // Without this the kernel would go on reporting events of descriptors that the next process shares.
    ev_loop_fork(loop_);
}

// The next process died: this one accepts and serves new clients again.
void HotRestartCoordinator::resume() {
    if (!hooks_.is_serving()) return;
    log_.warning("hot_restart_reverted", {{"reason", "the process that took over has exited"}});
    has_handed_over_ = false;
    components_.downstream.pause_accepting(false);
    if (!components_.discovery.is_running())
        components_.discovery.start(config_, {no_endpoint_list, EndpointStaleness(list_staleness_)});
    listen_for_next();
}

}  // namespace headrouter
