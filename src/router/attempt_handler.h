/// Runs attempts: sends a request to a server and handles the server's answer.
#pragma once
#include <string_view>

#include "base/time.h"
#include "router/router_context.h"

namespace headrouter {

/// Starts the attempts that the policy requests and reports their progress to it. Forwards to the client the
/// answer of the attempt that established the request, and the end of that attempt.
class AttemptHandler {
   public:
    explicit AttemptHandler(const RouterContext& context) : context_(context) {}

    /// Starts an attempt. The attempt ends at once if the server's address is unknown or the server is no
    /// longer active.
    void start(const StartAttemptAction&);

    /// Returns whether the request line may still be sent, now that the connection to the server is up. Polls
    /// the client's connection first: if this process was paused, the event loop may not have read yet that
    /// the client has gone.
    bool may_send(RequestId);
    /// Handles that the request line was written to the server.
    void on_written(RequestId);
    /// Handles that the server has accepted the request with `line`.
    void on_established(RequestId, std::string_view line);
    /// Handles the end of an attempt, before or after the request was established.
    void on_ended(RequestId, const AttemptResult&);

   private:
    /// Returns whether the policy's time limit for sending the request's latest attempt has not passed.
    bool is_in_time_to_send(RequestId);
    void log_attempt_ended(RequestId, const ActiveRequest&, const AttemptResult&, Duration duration);
    /// Ends the client's connection: with the server's last reply if the request was not established, with
    /// MOVE if the server fell silent between two lines, otherwise with FIN or RST as the server's connection
    /// ended.
    void end_client_connection(RequestId, const ActiveRequest&, const AttemptResult&);

    RouterContext context_;
};

}  // namespace headrouter
