/// Graceful shutdown of a process: clients are migrated or answered before the process exits.
#pragma once
#include "base/time.h"
#include "config/cluster_config.h"
#include "downstream/downstream.h"
#include "router/request_router.h"
#include "transport/line_connection.h"

namespace headrouter {

/// Runs the phases of a shutdown: the process still accepts requests for a short period, then migrates
/// connections, then waits for clients that have sent a part of their request line. At the deadline it exits
/// even if clients are left. Used on the event loop's thread.
class GracefulShutdown {
   public:
    struct Components {
        RequestRouter& router;
        Downstream& downstream;
        LingeringCloser& client_closer;
        LingeringCloser& server_closer;
    };
    explicit GracefulShutdown(Components components) : components_(components) {}

    /// Begins the shutdown; later calls do nothing. `has_handed_over`: another process has taken over the
    /// listener, so no new clients connect to this one.
    void begin(const ClusterConfig&, bool has_handed_over);
    bool has_begun() const { return has_begun_; }

    /// Advances to the next phase if it is due; call it a few times a second. Returns true once the process
    /// may exit.
    [[nodiscard]] bool advance(TimePoint now, bool has_handed_over);

   private:
    [[nodiscard]] bool dismiss_clients(TimePoint now);
    bool is_done() const;

    Components components_;
    bool has_begun_ = false;
    TimePoint accepts_until_;
    TimePoint deadline_;
};

}  // namespace headrouter
