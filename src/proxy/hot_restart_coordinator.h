/// Both sides of a hot restart in one balancer: takeover from the previous process and handover to the next.
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

/// Takes over the listener, connections and state from the previous process at the start, and hands them over
/// to the next process later. Used on the event loop's thread.
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
        /// Returns whether this process serves, so that it can hand over.
        std::function<bool()> is_serving;
        /// Applies the running configuration to the restored state.
        std::function<void()> apply_configuration;
        /// Receives the number of descriptors that the previous process still holds.
        std::function<void(int descriptors)> on_previous_process_descriptors;
    };
    /// `config` must outlive the coordinator; the owner may change it meanwhile.
    HotRestartCoordinator(struct ev_loop*, const BootstrapConfig& config, Components, Hooks, Log&);

    /// Requests the listener, state and connections from the running process. Blocks for up to a few seconds.
    /// Returns false if there is no such process or it hands over nothing.
    [[nodiscard]] bool connect_to_previous();
    /// Takes over the listener, and also all connections and state if both processes have the same state
    /// version. Requires that connect_to_previous() returned true. Returns the endpoint list from which to
    /// continue: the one taken over, or `cached_list` if none was. Throws HotRestartError if the takeover
    /// fails: this balancer is then unusable, and a new one has to start without a hot restart.
    [[nodiscard]] InitialEndpointList take_over(const InitialEndpointList& cached_list);
    bool has_previous() const { return child_ != nullptr; }

    /// Listens for the next process. A failure is logged, and the balancer serves without hot restart.
    void listen_for_next();
    /// Returns whether another process has taken over the listener, possibly with all connections and state.
    bool has_handed_over() const { return has_handed_over_; }
    /// Reports the number of descriptors that this process still holds to the next process.
    void report_descriptors(int held) { parent_.report_descriptors_held(held); }

   private:
    HotRestartParent::Callbacks callbacks();
    InitialEndpointList restore_state();
    hot_restart::TransferState pack();
    void hand_over(bool with_state);
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
    EndpointStaleness::State list_staleness_;  // of the list that pack() has handed over
    bool has_handed_over_ = false;
};

}  // namespace headrouter
