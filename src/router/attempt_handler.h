/// An attempt from its start to its end.
#pragma once
#include <string_view>

#include "base/time.h"
#include "router/router_context.h"

namespace headrouter {

/// Starts the attempts that the policy decides on and tells it how they go. The answer of the attempt that
/// established a request, and the end of that attempt, go on to the client.
class AttemptHandler {
   public:
    explicit AttemptHandler(const RouterContext& context) : context_(context) {}

    /// An attempt at a server whose address is not known, or that is no longer active, ends at once.
    void start(const StartAttemptAction&);

    /// The connection is up: whether the request line may still be sent. Also counts what the event loop has
    /// not read yet: after a pause of this process the end of the client may still wait in the kernel.
    bool may_send(RequestId);
    void on_written(RequestId);
    /// The server has accepted the request with `line`.
    void on_established(RequestId, std::string_view line);
    void on_ended(RequestId, const AttemptResult&);

   private:
    void log_ended(RequestId, const ActiveRequest&, const AttemptResult&, Duration duration);
    /// Hands the end of the server's connection on to the client.
    void end_client(RequestId, const ActiveRequest&, const AttemptResult&);

    RouterContext context_;
};

}  // namespace headrouter
