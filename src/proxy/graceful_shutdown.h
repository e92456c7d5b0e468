/// The orderly end of a process: clients are moved or answered before it exits.
#pragma once
#include "base/time.h"
#include "config/cluster_config.h"
#include "downstream/downstream.h"
#include "router/request_router.h"
#include "transport/line_connection.h"

namespace headrouter {

/// The phases of a shutdown: requests are still accepted for a moment, then connections are migrated, then
/// those clients that have begun a line are waited for, and at the deadline the process ends whatever is
/// left. On the loop's thread.
class GracefulShutdown {
   public:
    struct Components {
        RequestRouter& router;
        Downstream& downstream;
        LingeringCloser& client_closer;
        LingeringCloser& server_closer;
    };
    explicit GracefulShutdown(Components components) : components_(components) {}

    /// Only the first call counts. `has_passed_on`: another process has taken over the listener, so no client
    /// comes here any more.
    void begin(const ClusterConfig&, bool has_passed_on);
    bool has_begun() const { return has_begun_; }

    /// Advances to the next phase where it is due; to be called a few times a second. True once the process
    /// may end.
    [[nodiscard]] bool advance(TimePoint now, bool has_passed_on);

   private:
    [[nodiscard]] bool dismiss_clients(TimePoint now);
    bool is_done() const;

    Components components_;
    bool has_begun_ = false;
    TimePoint arrivals_end_;
    TimePoint deadline_;
};

}  // namespace headrouter
