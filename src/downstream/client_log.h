/// Logs and counts what happens to client connections before their request is read.
#pragma once
#include <cstdint>
#include <string_view>

#include "admin/counters.h"
#include "admin/log.h"
#include "base/time.h"
#include "downstream/client.h"
#include "policy/balancing_policy.h"

namespace headrouter {

/// Why the balancer closes a connection before it has read a request from it.
enum class DismissalReason {
    silent,           ///< no byte arrived in time, or none after a probe
    unfinished_line,  ///< a line was begun but not completed in time
    evicted,          ///< its descriptor is needed for another connection
    shutting_down     ///< this process is shutting down
};

/// Logs dismissals at level `info`, at most a few per second so that many at once do not flood the log, and
/// all other events at `debug`. Each log line names the connection by the key `request`, since the request
/// gets the same number.
class ClientLog {
   public:
    /// `log` and `counters` must outlive this object.
    ClientLog(Log& log, Counters& counters) : log_(log), counters_(counters) {}

    void on_connected(RequestId, int open_descriptors);

    /// Logs that the first part of a line has arrived without the rest.
    void on_line_begun(const Client&, TimePoint now);

    /// Logs that the line was not a valid request, with `problem` as the reason.
    void on_malformed_line(const Client&, std::string_view problem);

    /// Logs that the client closed its connection before its request was read.
    void on_left(const Client&, CloseReason, TimePoint now);

    /// Logs and counts the dismissal. It counts as overdue if an unfinished line waited longer than
    /// `unfinished_request_answer_limit`.
    void on_dismissed(const Client&, DismissalReason, std::string_view reply, TimePoint now);

   private:
    bool may_log_dismissal(TimePoint now);

    Log& log_;
    Counters& counters_;
    TimePoint second_started_at_;
    int dismissals_logged_ = 0;
    uint64_t dismissals_unlogged_ = 0;
};

}  // namespace headrouter
