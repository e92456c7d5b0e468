/// The line with which a client opens its connection: `OPEN id key name=value,...`. Of the list, `c` is the
/// request class, `t` the tenant, `g` the affinity group, `d` how long the client waits for its answer (ms),
/// `again` whether it comes again after its connection broke or was migrated, `h` a hint at its load (us a
/// second), and `at` the server at which it was established before this balancer started.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "config/cluster_config.h"
#include "policy/balancing_policy.h"

namespace headrouter {

/// A request line that could be read: its bytes as they came, and what they say.
struct RequestLine {
    std::string line;
    std::string wire_id;     ///< by which servers know the request
    size_t wait_offset = 0;  ///< where `line` says how long its sender waits
    size_t wait_length = 0;
    Request request;  ///< without its id and deadline, which the router sets
    Duration wait;    ///< how long the client waits, bounded by its class's deadline for a new request
    ServerId established_server;  ///< the server that serves it already; empty for a new request

    /// The same line, but saying that its sender waits for `wait`: at least 1 ms, rounded down to whole ones.
    std::string line_with_wait(Duration new_wait) const;
};

/// Why a request line cannot be read.
enum class RequestLineError {
    no_crlf,
    unprintable_byte,
    wrong_shape,
    malformed_id,
    empty_key,
    malformed_field,
    duplicate_field,
    unknown_class,
    unknown_tenant,
    malformed_flag,
    malformed_wait,
    missing_class,
    missing_tenant,
    missing_group,
    missing_wait,
    id_in_use,  ///< found by the router, not by the parser
};

/// What was expected, for the log.
std::string_view describe(RequestLineError);

/// Reads `line`, with its line end, by the names that the configuration gives to classes and tenants.
Result<RequestLine, RequestLineError> parse_request_line(std::string_view line, const ClusterConfig&);

}  // namespace headrouter
