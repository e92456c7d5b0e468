/// What the policy notes of a request until its client is gone.
#pragma once
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/server_index.h"
#include "policy/types.h"

namespace headrouter {

/// One try of a request at one server.
struct Attempt {
    ServerIndex server;
    TimePoint sent;
    bool pending = false;      ///< sent, and neither established nor ended
    bool established = false;  ///< and not ended
};

/// A request as asked for, with the policy's record of it. It has one pending or established attempt at a
/// time, the last one.
struct RequestState : Request {
    RequestState() = default;
    explicit RequestState(Request request) : Request(std::move(request)) {}

    std::vector<Attempt> attempts;
    std::optional<int> may_have_run;  ///< the first attempt of which it is not known that it never ran
    std::optional<ServerIndex> chosen_server;  ///< where the pipeline has placed the latest attempt
    std::optional<int> connection_index;       ///< among its server's connections, while it is one of them
    std::optional<double> load;                ///< as reported, in microseconds a second
    bool is_protected = false;                 ///< failed over lately: stays until its server is balanced
    bool queued = false;                       ///< waits for a server that may take it
};

using RequestTable = std::unordered_map<RequestId, RequestState>;

}  // namespace headrouter
