/// The two ends of a hot restart in one balancer: taking over from the process before, passing on to the
/// next.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "admin/log.h"
#include "downstream/downstream.h"
#include "hot_restart/hot_restart_child.h"
#include "hot_restart/hot_restart_error.h"
#include "hot_restart/hot_restart_parent.h"
#include "hot_restart/transfer_state.h"
#include "proxy/bootstrap_config.h"
#include "proxy/discovery_watch.h"
#include "proxy/gossip_socket.h"
#include "proxy/timer_service.h"
#include "router/request_router.h"
#include "upstream/upstream.h"

namespace headrouter {

/// On the loop's thread.
class HotRestartCoordinator {
   public:
    struct Components {
        RequestRouter& router;
        Downstream& downstream;
        Upstream& upstream;
        TimerService& timers;
        DiscoveryWatch& discovery;
        GossipSocket& gossip;
    };
    struct Hooks {
        /// Whether this process serves, so that there is something to pass on.
        std::function<bool()> is_serving;
        /// Applies the running configuration to the state that was taken over.
        std::function<void()> apply_configuration;
        /// How many descriptors the previous process still holds.
        std::function<void(int descriptors)> on_previous_process_holds;
    };
    /// `config` must outlive it, and may change under it.
    HotRestartCoordinator(struct ev_loop*, const BootstrapConfig& config, Components, Hooks, Log&);

    /// Asks the running process for what it has. Blocks for up to a few seconds. False where there is no such
    /// process or it hands over nothing.
    [[nodiscard]] bool connect_to_previous();
    /// After connect_to_previous(): takes over the listener, and all connections and state where both
    /// processes keep them in the same form. Returns the version of the endpoint list to go on from,
    /// `cached_version` where none was taken over. Throws HotRestartError: this balancer is then of no use,
    /// and a new one has to start without a hot restart.
    [[nodiscard]] int64_t take_over(int64_t cached_version);
    bool has_previous() const { return child_ != nullptr; }

    /// Lets the next process ask this one. Where that is impossible it is logged; the balancer serves all the
    /// same.
    void listen_for_next();
    /// Another process has taken over the listener, and maybe everything else.
    bool has_passed_on() const { return has_passed_on_; }
    /// Tells the next process how many descriptors this one still holds.
    void report_descriptors(int held) { parent_.report_descriptors_held(held); }

    /// How long the endpoint list that was taken over counts as up to date; zero where none was.
    TimePoint list_valid_until() const { return list_valid_until_; }

   private:
    HotRestartParent::Callbacks callbacks();
    void restore_state(int64_t& list_version);
    hot_restart::TransferState pack();
    void pass_on(bool whole);
    void resume();
    std::string socket_path() const {
        return hot_restart_socket_path(config_.runtime_folder, config_.listen);
    }

    struct ev_loop* loop_;
    const BootstrapConfig& config_;
    Components components_;
    Hooks hooks_;
    Log& log_;
    std::unique_ptr<HotRestartChild> child_;
    HotRestartParent parent_;
    TimePoint list_valid_until_;
    bool has_passed_on_ = false;
};

}  // namespace headrouter
