/// Turns the first line of a client into a request that is reported to the policy.
#pragma once
#include <string_view>

#include "base/sliding_window.h"
#include "downstream/request_line.h"
#include "router/admission_control.h"
#include "router/router_context.h"

namespace headrouter {

/// Parses request lines and accepts or adopts the requests. Answers a malformed line with `ERR` and a request
/// that is not admitted with `BUSY`.
class RequestIntake {
   public:
    /// `recent_reconnects` counts new requests whose previous connection was broken or migrated.
    RequestIntake(const RouterContext& context, const AdmissionControl& admission,
                  SlidingWindow<5>& recent_reconnects)
        : context_(context), admission_(admission), recent_reconnects_(recent_reconnects) {}

    /// Handles the first line of a connection, including its line end. The line may be malformed.
    void on_request_line(RequestId, std::string_view line);

   private:
    void drop(RequestId);
    void reject_malformed(RequestId, std::string_view line, RequestLineError);
    void reject(RequestId, const RequestLine&, const AdmissionRejection&);
    void accept(RequestId, RequestLine, TimePoint now);
    void adopt(RequestId, RequestLine, TimePoint now);

    RouterContext context_;
    const AdmissionControl& admission_;
    SlidingWindow<5>& recent_reconnects_;
};

}  // namespace headrouter
