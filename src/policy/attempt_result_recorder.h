/// Records what the end of an attempt shows about its server and about its request's affinity key.
#pragma once
#include "affinity/failover_table.h"
#include "policy/policy_config.h"
#include "policy/request_state.h"
#include "policy/server_health.h"
#include "policy/server_table.h"
#include "retry/early_reset_rate.h"

namespace headrouter {

/// The end of an attempt.
struct AttemptEnd {
    int number;  ///< number of the attempt within its request, from 0
    AttemptOutcome outcome;
    bool was_established;
    bool is_final;  ///< the outcome was the answer to the client
};

/// Records failures of servers, early resets and failovers of affinity keys. An attempt that was completed,
/// cancelled or not sent shows nothing about its server and adds no failure penalty.
class AttemptResultRecorder {
   public:
    /// Dependencies, which must outlive the recorder.
    struct Parts {
        const PolicyConfig& config;
        ServerTable& servers;
        ServerHealth& health;
        FailoverTable& failovers;
        EarlyResetRate& early_resets;
    };
    explicit AttemptResultRecorder(const Parts& parts)
        : config_(parts.config),
          servers_(parts.servers),
          health_(parts.health),
          failovers_(parts.failovers),
          early_resets_(parts.early_resets) {}

    /// Records the end of an attempt of `request`.
    void record(TimePoint now, const RequestState& request, const AttemptEnd&);

   private:
    void record_setup_failure(TimePoint now, const RequestState&, const AttemptEnd&);
    void record_connection_end(TimePoint now, const RequestState&, const AttemptEnd&);

    const PolicyConfig& config_;
    ServerTable& servers_;
    ServerHealth& health_;
    FailoverTable& failovers_;
    EarlyResetRate& early_resets_;
};

}  // namespace headrouter
