/// What happens to clients before their request is read, as log lines and counters.
#pragma once
#include <cstdint>
#include <string_view>

#include "admin/counters.h"
#include "admin/log.h"
#include "base/time.h"
#include "downstream/client.h"
#include "policy/balancing_policy.h"

namespace headrouter {

/// Why the balancer ends a connection before it has read a request from it.
enum class DismissalReason {
    silent,           ///< nothing came in time, or nothing more after a probe
    unfinished_line,  ///< a line was begun and not ended in time
    evicted,          ///< its descriptor is needed
    shutting_down     ///< this process ends
};

/// Dismissals are logged at `info`, a few a second, so that a crowd of them does not fill the log; the other
/// events at `debug`. Each line names the connection (`request`, as the request has the same number).
class ClientLog {
   public:
    /// Both must outlive this.
    ClientLog(Log& log, Counters& counters) : log_(log), counters_(counters) {}

    void on_connected(RequestId, int open_descriptors);

    /// The first byte of a line has come, and not the whole line with it.
    void on_line_begun(const Client&, TimePoint now);

    /// The line was no request: `problem` is said in the log.
    void on_malformed_line(const Client&, std::string_view problem);

    /// The client ended its connection before its request was read.
    void on_left(const Client&, CloseReason, TimePoint now);

    /// Counts as overdue what took longer than the client is owed.
    void on_dismissed(const Client&, DismissalReason, std::string_view reply, TimePoint now);

   private:
    bool may_log_dismissal(TimePoint now);

    Log& log_;
    Counters& counters_;
    TimePoint second_began_;
    int dismissals_logged_ = 0;
    uint64_t dismissals_unlogged_ = 0;
};

}  // namespace headrouter
