/// From a client's first line to a request that the policy knows.
#pragma once
#include <string_view>

#include "base/sliding_window.h"
#include "downstream/request_line.h"
#include "router/admission_control.h"
#include "router/router_context.h"

namespace headrouter {

/// Reads request lines and takes the requests, or answers their clients at once: `ERR` to what cannot be
/// read, `BUSY` to what is not admitted.
class RequestIntake {
   public:
    /// `recent_reconnects` counts the requests whose earlier connections had broken or been migrated.
    RequestIntake(const RouterContext& context, const AdmissionControl& admission,
                  SlidingWindow<5>& recent_reconnects)
        : context_(context), admission_(admission), recent_reconnects_(recent_reconnects) {}

    /// The first line of a connection, with its line end; it may be malformed.
    void on_request_line(RequestId, std::string_view line);

   private:
    void refuse_malformed(RequestId, std::string_view line, RequestLineError);
    void reject(RequestId, const RequestLine&, const AdmissionRejection&);
    void accept(RequestId, RequestLine, TimePoint now);
    void adopt(RequestId, RequestLine, TimePoint now);

    RouterContext context_;
    const AdmissionControl& admission_;
    SlidingWindow<5>& recent_reconnects_;
};

}  // namespace headrouter
