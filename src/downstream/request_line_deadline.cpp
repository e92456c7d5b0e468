#include "downstream/request_line_deadline.h"

namespace headrouter {

namespace {

// A client says at once what it wants.
constexpr Duration max_silence = seconds(1.5);

// A prober may keep its connection for the next PING, but hundreds of them that probe once and stay would use
// up what requests need.
constexpr Duration max_silence_after_probe = seconds(5);

// Some clients write their line bit by bit, over two seconds.
constexpr Duration slowest_writer = seconds(2);
constexpr Duration max_line_time = seconds(2.5);

// Between two looks at the clients, and how long this process may be held up before and after its look.
constexpr Duration longest_check_interval = millis(100);
constexpr Duration longest_hold_up = millis(150);
static_assert(max_line_time > slowest_writer + longest_hold_up);
static_assert(max_line_time + longest_check_interval + longest_hold_up * 2 < unfinished_request_owed_within);

// A prober that began its line no later than this after its connect can still be given what the others get.
constexpr Duration latest_start_of_first_line = seconds(2);

}  // namespace

TimePoint request_line_start(TimePoint connected_at, TimePoint first_byte_at) {
    const bool is_early = first_byte_at - connected_at < latest_start_of_first_line;
    return is_early ? connected_at : first_byte_at;
}

TimePoint request_line_deadline(const RequestLineProgress& progress) {
    if (progress.has_partial_line) return progress.line_started_at + max_line_time;
    if (progress.has_probed) return progress.idle_since + max_silence_after_probe;
    return progress.connected_at + max_silence;
}

}  // namespace headrouter
