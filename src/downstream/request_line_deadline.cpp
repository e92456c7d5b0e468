#include "downstream/request_line_deadline.h"

namespace headrouter {

namespace {

// Clients normally begin their request line right after the connect.
constexpr Duration max_idle_time = seconds(1.5);

// A prober may keep its connection open for the next PING, but hundreds of clients that probe once and stay
// connected would use up the descriptors that requests need.
constexpr Duration max_idle_time_after_probe = seconds(5);

// Some clients write their line in small pieces over two seconds.
constexpr Duration slowest_line_time = seconds(2);
constexpr Duration max_line_time = seconds(2.5);

// The longest time between two checks of the clients, and the longest stall of this process before and after
// a check.
constexpr Duration max_check_interval = millis(100);
constexpr Duration max_process_stall = millis(150);
static_assert(max_line_time > slowest_line_time + max_process_stall);
static_assert(max_line_time + max_check_interval + max_process_stall * 2 < unfinished_request_answer_limit);

// A prober that begins its line earlier than this after its connect can still meet the deadline that applies
// to clients without probes, which counts from the connect.
constexpr Duration latest_start_of_first_line = seconds(2);

}  // namespace

TimePoint request_line_start(TimePoint connected_at, TimePoint first_byte_at) {
    const bool is_early = first_byte_at - connected_at < latest_start_of_first_line;
    return is_early ? connected_at : first_byte_at;
}

TimePoint request_line_deadline(const RequestLineProgress& progress) {
    if (progress.has_partial_line) return progress.line_started_at + max_line_time;
    if (progress.has_probed) return progress.idle_since + max_idle_time_after_probe;
    return progress.connected_at + max_idle_time;
}

}  // namespace headrouter
