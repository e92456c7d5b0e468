/// Defines the lines that the balancer itself sends to a client. Each except `PONG` and `NO` is the last line
/// of its connection.
#pragma once
#include <algorithm>
#include <string>
#include <string_view>

#include "base/time.h"

namespace headrouter {

/// The request failed or was malformed; it may have been executed.
constexpr std::string_view error_reply = "ERR\r\n";

/// The request was rejected without being executed; it is safe to retry it here or elsewhere.
constexpr std::string_view busy_reply = "BUSY\r\n";

/// The established request continues on another connection, which the client has to open.
constexpr std::string_view move_reply = "MOVE\r\n";

/// The answer to the probe `PING`.
constexpr std::string_view ping_reply = "PONG\r\n";

/// The answer to `STATS`, which this balancer does not support on the address for clients.
constexpr std::string_view stats_reply = "NO\r\n";

/// Returns `BUSY` with the time in milliseconds after which the client should retry, at least 1 ms; without a
/// time if `retry_after` is not above zero.
inline std::string busy_reply_after(Duration retry_after) {
    constexpr int64_t ns_per_ms = 1'000'000;
    if (retry_after.ns <= 0) return std::string(busy_reply);
    return "BUSY " + std::to_string(std::max<int64_t>(1, retry_after.ns / ns_per_ms)) + "\r\n";
}

}  // namespace headrouter
