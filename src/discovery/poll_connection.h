/// Sends requests for the endpoint list on one connection.
#pragma once
#include <cstdint>
#include <string>

#include "base/time.h"
#include "discovery/http_client.h"

namespace headrouter {

class PollConnection;

/// Receives the results of the requests of several connections. May send the next request on the connection,
/// and must not destroy it inside a call.
class PollConnectionEvents {
   public:
    virtual ~PollConnectionEvents() = default;
    virtual void on_response(PollConnection& connection, const HttpResponse& response) = 0;
    /// Reports a failure; the connection is already closed. For `was_reached` see HttpClientEvents.
    virtual void on_error(PollConnection& connection, HttpError error, bool was_reached) = 0;
};

/// Stands for the version of a list that has to be fetched as a whole.
constexpr int64_t unknown_list_version = -1;

/// What to request: the whole list, or the changes since a version, for which the service may wait.
struct PollRequest {
    int64_t since = unknown_list_version;
    Duration watch_time;  ///< time for which the service waits for a change; not used for the whole list
};

/// Sends one request at a time and reports its result. Runs on the thread of the event loop.
class PollConnection : private HttpClientEvents {
   public:
    /// `host` is the value of the Host header.
    PollConnection(struct ev_loop* loop, const Address& address, std::string host,
                   PollConnectionEvents& events);

    /// Sends a request, whose response has to be complete within `timeout`. An error may be reported before
    /// send() returns.
    void send(const PollRequest& request, Duration timeout);

    /// Drops the request in flight and closes the connection. The next request opens a new one.
    void close() { http_.close(); }

    /// Returns whether a request is in flight.
    bool is_waiting() const { return http_.is_waiting(); }
    /// Returns whether bytes have been received since the latest request was sent.
    bool was_reached() const { return http_.was_reached(); }
    TimePoint sent_at() const { return sent_at_; }
    /// Returns the version since which the latest request asked for changes, or unknown_list_version.
    int64_t since() const { return since_; }

   private:
    void on_response(const HttpResponse& response) override { events_.on_response(*this, response); }
    void on_http_error(HttpError error, bool was_reached) override {
        events_.on_error(*this, error, was_reached);
    }

    HttpClient http_;
    PollConnectionEvents& events_;
    TimePoint sent_at_;
    int64_t since_ = unknown_list_version;
};

}  // namespace headrouter
