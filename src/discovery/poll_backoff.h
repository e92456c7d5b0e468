/// Computes the timeouts and pauses of requests for the endpoint list: watch duration, response timeout,
/// and the backoff after a failure. No I/O.
#pragma once
#include "base/pcg32.h"
#include "base/time.h"

namespace headrouter {

/// The kind of process that serves the endpoint list.
enum class DiscoveryKind {
    local_agent,    ///< one on each machine: requests are cheap and answered at once
    shared_service  ///< one for all balancers: each request costs it work and waits in its queue
};

/// How a request for the endpoint list failed.
enum class PollFailure {
    unreachable,  ///< connection refused or broken, response late or malformed
    rejected      ///< a well-formed response without a list: the service cannot supply one now
};

/// Chooses the timing of the requests to one discovery address.
class PollBackoff {
   public:
    /// `poll_interval`: time in which each balancer is expected to send one request to a shared service;
    /// zero if unknown. `seed`: seed of the jitter.
    PollBackoff(DiscoveryKind kind, Duration poll_interval, uint64_t seed);

    /// Returns the time after which the server is asked to end a watch if nothing has changed.
    Duration watch_time() const;

    /// Returns the time to wait for a response; on a watch, in addition to watch_time().
    /// `is_snapshot_request`: whether the request is for the whole list.
    Duration response_timeout(bool is_snapshot_request) const;

    /// Returns how long a request may be answered in all; others are sent meanwhile, from its response
    /// timeout on.
    static Duration late_response_timeout();

    /// Records a failure and returns the pause before the next request, which grows with consecutive
    /// failures. `retry_after`: delay that the service asked for, zero if none.
    Duration next_pause(PollFailure failure, Duration retry_after = {});

    /// Records that a request returned a list or a delta within its response timeout: the pauses start again
    /// from the shortest.
    void on_success();

    /// Records that a request returned a list or a delta after its response timeout. A shared service that
    /// answers late is crowded: requests to it stay as rare as after a failure.
    void on_late_success();

   private:
    /// Doubles a pause with each failure, up to a limit.
    struct ExponentialPause {
        Duration first;
        Duration longest;
        Duration next;

        static ExponentialPause between(Duration first, Duration longest) { return {first, longest, first}; }

        /// Returns the next pause and doubles the one after it, up to `longest`.
        Duration advance();
        void reset() { next = first; }
    };

    bool is_shared() const { return kind_ == DiscoveryKind::shared_service; }

    DiscoveryKind kind_;
    bool is_failing_ = false;    // the last request failed
    bool is_following_ = false;  // the last request succeeded, so the next one is a watch and does not queue
    Duration queue_timeout_;     // for a request that waits in the queue of a shared service
    ExponentialPause unreachable_pause_;
    ExponentialPause rejected_pause_;
    Pcg32 jitter_;
};

}  // namespace headrouter
