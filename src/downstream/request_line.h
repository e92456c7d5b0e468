/// Parses the first line of a client connection, `OPEN id key name=value,...`. Fields of the list: `c` is the
/// request class, `t` the tenant, `g` the affinity group, `d` how long the client waits for the answer (ms),
/// `again` whether the client reconnects after its connection broke or was migrated, `h` the client's
/// estimate of the request's load (us per second), and `at` the server on which the request was established
/// before this balancer started.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "config/cluster_config.h"
#include "policy/balancing_policy.h"

namespace headrouter {

/// A valid request line: its original bytes and the parsed values.
struct RequestLine {
    std::string line;
    std::string wire_id;     ///< id of the request on the wire, also towards servers
    size_t wait_offset = 0;  ///< position in `line` of the value of the field `d`
    size_t wait_length = 0;  ///< bytes of that value
    Request request;         ///< without id and deadline, which the router sets
    Duration wait;  ///< how long the client waits; for a new request at most the deadline of its class
    ServerId established_server;  ///< the server on which the request is established; empty for a new request

    /// Returns the same line with `new_wait` as the value of `d`, rounded down to whole milliseconds and at
    /// least 1 ms.
    std::string line_with_wait(Duration new_wait) const;
};

/// Why a request line is rejected.
enum class RequestLineError {
    no_crlf,
    unprintable_byte,
    wrong_format,
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
    id_in_use,   ///< detected by the router, not by the parser
    id_has_run,  ///< likewise
};

/// Returns what is wrong with the line, for the log.
std::string_view describe(RequestLineError);

/// Parses `line`, which includes its line end. Classes and tenants are looked up by their configured names.
Result<RequestLine, RequestLineError> parse_request_line(std::string_view line, const ClusterConfig&);

}  // namespace headrouter
