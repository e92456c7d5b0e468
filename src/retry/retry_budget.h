/// A limit to retries of requests that an earlier attempt may have cost a server's work already.
/// Guards against retry storms, which keep a fleet overloaded after the cause is over.
#pragma once
#include "base/sliding_window.h"

namespace headrouter {

struct ComponentStateAccess;

/// Retries as a part of the requests, both of the last five seconds. Not thread-safe.
class RetryBudget {
   public:
    void on_request(TimePoint now) { requests_.add(now, 1); }
    void on_retry(TimePoint now) { retries_.add(now, 1); }

    /// Whether one more retry may be sent now.
    [[nodiscard]] bool allows_retry(TimePoint now) {
        return retries_.sum(now) < min_retries + retry_ratio * requests_.sum(now);
    }

   private:
    friend struct ComponentStateAccess;
    /// Retries in the window, whatever the traffic: with few requests, they are what shows a failed server.
    static constexpr double min_retries = 2;
    /// Further retries for each request in the window.
    static constexpr double retry_ratio = 0.2;
    SlidingWindow<5> requests_{seconds(1)};
    SlidingWindow<5> retries_{seconds(1)};
};

}  // namespace headrouter
