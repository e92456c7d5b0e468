/// Routes requests between client connections and server connections.
#pragma once
#include <string>
#include <string_view>

#include "admin/counters.h"
#include "admin/log.h"
#include "admin/metrics.h"
#include "base/sliding_window.h"
#include "capture/recording_policy.h"
#include "discovery/endpoint_table.h"
#include "downstream/downstream_interface.h"
#include "downstream/request_line.h"
#include "router/active_requests.h"
#include "router/admission_control.h"
#include "router/attempt_handler.h"
#include "router/gossip_interface.h"
#include "router/policy_action_queue.h"
#include "router/request_adopter.h"
#include "router/request_completion.h"
#include "router/request_intake.h"
#include "router/request_watchdog.h"
#include "router/router_context.h"
#include "router/router_environment.h"
#include "router/shutdown_drain.h"
#include "router/shutdown_schedule.h"
#include "upstream/upstream_interface.h"

namespace headrouter {

/// Reports events to the balancing policy and performs its actions. Placement and retries are decided by the
/// policy alone. The router adds what real connections need: admission control, an answer to every request
/// before its client gives up, closing one connection when the other one ends, and a last check of the
/// endpoint list before a request line is sent. Runs on the event loop's thread.
class RequestRouter : public DownstreamEvents,
                      public UpstreamEvents,
                      public GossipEvents,
                      private PendingActionHandler {
   public:
    /// `seed` is the seed of the policy's random number generator.
    RequestRouter(ClusterConfig, uint64_t seed, DownstreamInterface&, UpstreamInterface&, RouterEnvironment,
                  Counters&, Log&);

    /// Sets the receiver of the policy's gossip. Gossip is dropped until this is called.
    void set_gossip(GossipInterface& gossip) { actions_.set_gossip(gossip); }

    void on_request_line(RequestId id, std::string_view line) override { intake_.on_request_line(id, line); }
    void on_client_bytes(RequestId, std::string_view bytes) override;
    void on_client_closed(RequestId, CloseReason) override;
    void on_early_client_data(RequestId) override;
    void on_client_writable(RequestId) override;

    bool may_send(RequestId id) override { return attempts_.may_send(id); }
    void on_attempt_written(RequestId id) override { attempts_.on_written(id); }
    void on_attempt_established(RequestId id, std::string_view line) override {
        attempts_.on_established(id, line);
    }
    void on_server_bytes(RequestId, std::string_view bytes, bool complete) override;
    void on_load_report(RequestId, double load_us_per_s) override;
    void on_latency_report(RequestId, double latency_ms) override;
    void on_attempt_ended(RequestId id, const AttemptResult& result) override {
        attempts_.on_ended(id, result);
    }
    void on_server_writable(RequestId) override;

    void on_gossip(int replica_index, const std::string& bytes) override;

    void on_endpoints(EndpointUpdateKind, const EndpointUpdate&);
    void on_timer(uint64_t token);

    /// Handles overdue requests and the migrations of a graceful shutdown. Must be called ten times a second.
    void on_tick();

    /// Applies reloaded settings.
    void reconfigure(const ClusterConfig&);

    /// Starts a graceful shutdown. New requests are still admitted for at least `shutdown_accept_period`;
    /// then they are rejected, and established requests are migrated. The last migration takes place when
    /// half of `duration` or all of it has elapsed, depending on ShutdownSchedule::Order.
    void begin_graceful_shutdown(Duration duration);

    /// Returns whether no request is left.
    bool is_drained() const { return active_requests_.empty(); }

    /// Drops all requests without sending anything to clients or servers: another process handles them now.
    void detach_all();

    /// Records the policy's input events from now on; null stops the recording.
    void record_to(capture::EventRecorder* recorder) { policy_.record_to(recorder); }

    const ClusterConfig& config() const { return config_; }

    /// Returns the wall clock minus the steady clock, as the policy uses it. After a hot restart, this is the
    /// previous process's offset until `reconfigure` is called.
    Duration wall_clock_offset() const { return policy_.config().wall_clock_offset; }
    admin::MetricsSnapshot metrics() const;

    /// State that the next process needs to continue all requests.
    struct State {
        ClusterConfig config;
        EndpointTable::State endpoints;
        ActiveRequests::State active_requests;
        TimePoint started_at;
        SlidingWindow<5>::State recent_reconnects;
        std::string policy;  ///< serialized state of the policy
        ExecutedRequestIds::State executed_ids;
    };
    State state() const;

    /// Continues the requests of another process. Must be called before the first request line. Throws
    /// ParseError if the policy's state cannot be parsed.
    void restore(State state);

   private:
    RouterContext context();

    void perform(const StartAttemptAction& action) override { attempts_.start(action); }
    void perform(const RejectAction&) override;
    void perform(const FailAction&) override;
    void perform(const MigrateAction&) override;

    ClusterConfig config_;
    DownstreamInterface& downstream_;
    UpstreamInterface& upstream_;
    RouterEnvironment environment_;
    Counters& counters_;
    Log& log_;
    EndpointTable endpoints_;
    admin::SetupCounters setup_counters_;
    ActiveRequests active_requests_;
    RequestAdopter adopter_;
    RequestCompletion completion_;
    ShutdownSchedule shutdown_;
    // New requests of the last five seconds whose previous connection was broken or migrated.
    SlidingWindow<5> recent_reconnects_{seconds(1)};
    PolicyActionQueue actions_;
    AdmissionControl admission_;
    RequestIntake intake_;
    AttemptHandler attempts_;
    RequestWatchdog watchdog_;
    ShutdownDrain drain_;
    capture::RecordingPolicy policy_;  // last member: its constructor already sets a timer
};

}  // namespace headrouter
