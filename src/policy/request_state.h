/// The policy's record of a request, kept until the request ends or its client disconnects.
#pragma once
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/server_index.h"
#include "policy/types.h"

namespace headrouter {

/// One attempt of a request at one server.
struct Attempt {
    ServerIndex server;
    TimePoint sent;
    bool pending = false;      ///< sent, and neither established nor ended
    bool established = false;  ///< established, and not ended
};

/// A client's request with the policy's record of it. Only the last attempt may be pending or established.
struct RequestState : Request {
    RequestState() = default;
    explicit RequestState(Request request) : Request(std::move(request)) {}

    std::vector<Attempt> attempts;
    std::optional<int> may_have_run;  ///< number of the first attempt that is not known never to have run
    std::optional<ServerIndex> chosen_server;  ///< server of the latest attempt, as placed by the pipeline
    std::optional<int> connection_index;  ///< index among its server's connections, while it is one of them
    std::optional<double> load;           ///< as last reported, in microseconds of work a second
    bool is_protected = false;  ///< failed over recently: spared from migration until its server is balanced
    bool queued = false;        ///< waits until a server may take it
};

using RequestTable = std::unordered_map<RequestId, RequestState>;

}  // namespace headrouter
