/// Where the connections of clients and those to servers meet.
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

/// Tells the balancing policy what happens and carries out what it decides. It decides nothing about
/// placement and retries; it adds what sockets need: admission, an answer in any case before the client gives
/// up, the end of one connection handed on to the other one, a last look at the endpoint list before a byte
/// goes out. It runs on the thread of the event loop.
class RequestRouter : public DownstreamEvents,
                      public UpstreamEvents,
                      public GossipEvents,
                      private PendingActionHandler {
   public:
    /// `seed`: of the policy's random numbers.
    RequestRouter(ClusterConfig, uint64_t seed, DownstreamInterface&, UpstreamInterface&, RouterEnvironment,
                  Counters&, Log&);

    /// Where the policy's gossip goes; without this it is dropped.
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

    /// To be called ten times a second: for what is overdue, and for the migrations of a shutdown.
    void on_tick();

    /// Takes over settings that were read again.
    void reconfigure(const ClusterConfig&);

    /// Requests are taken for a moment more. After that new ones are rejected, and established ones are
    /// migrated, the last of them when about `duration` has passed.
    void begin_graceful_shutdown(Duration duration);

    /// No request is left.
    bool is_drained() const { return active_requests_.empty(); }

    /// Forgets all requests without a word to clients or servers: another process has them now.
    void detach_all();

    /// Records what the policy is told from now on; null ends that.
    void record_to(capture::EventRecorder* recorder) { policy_.record_to(recorder); }

    const ClusterConfig& config() const { return config_; }

    /// The wall clock less the steady one, as the policy counts with it: after a hot restart the previous
    /// process's until `reconfigure` is called.
    Duration wall_clock_offset() const { return policy_.config().wall_clock_offset; }
    admin::MetricsSnapshot metrics() const;

    /// What the next process needs to go on with all requests.
    struct State {
        ClusterConfig config;
        EndpointTable::State endpoints;
        ActiveRequests::State active_requests;
        TimePoint started_at;
        SlidingWindow<5>::State recent_reconnects;
        std::string policy;  ///< the bytes of the policy's state
    };
    State state() const;

    /// Goes on with the requests of another process, before the first of its own. Throws ParseError where the
    /// policy's state cannot be read.
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
    // Requests whose connections had broken or been migrated.
    SlidingWindow<5> recent_reconnects_{seconds(1)};
    PolicyActionQueue actions_;
    AdmissionControl admission_;
    RequestIntake intake_;
    AttemptHandler attempts_;
    RequestWatchdog watchdog_;
    ShutdownDrain drain_;
    capture::RecordingPolicy policy_;  // last, as it sets its first timer while it is constructed
};

}  // namespace headrouter
