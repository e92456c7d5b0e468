/// Keeps the endpoint list of one discovery address up to date over HTTP/1.1: fetches a snapshot first,
/// then sends one watch after the other for the changes. A request whose response is late is kept open beside
/// the next one, see LatePolls.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "admin/counters.h"
#include "admin/log.h"
#include "discovery/endpoint_staleness.h"
#include "discovery/endpoint_update.h"
#include "discovery/late_polls.h"
#include "discovery/poll_backoff.h"
#include "discovery/poll_connection.h"
#include "transport/event_watcher.h"

namespace headrouter {

/// Requests the endpoint list and passes its updates on. Runs on the thread of the event loop. All
/// constructor arguments passed by reference must outlive it.
class WatchClient : private PollConnectionEvents {
   public:
    /// Called with each snapshot, and with each delta that is not empty. The callee may destroy other watch
    /// clients, but not `source`.
    using UpdateHandler = std::function<void(const WatchClient& source, const EndpointUpdate& update)>;

    /// `host` is the value of the Host header; `config` has the names of the zones.
    WatchClient(struct ev_loop* loop, const Address& address, std::string host, const ClusterConfig& config,
                const Clock& clock, PollBackoff backoff, Counters& counters, Log& log,
                UpdateHandler on_update);

    /// Starts with a request for the whole list. `staleness` is that of the list in use.
    void start(const EndpointStaleness& staleness);

    /// Starts with a request for the changes since `version`, the version of the list in use.
    void start_from(int64_t version, const EndpointStaleness& staleness);

    /// Returns the version of the list as this client knows it; -1 if the whole list has to be fetched.
    int64_t version() const { return has_list_ ? version_ : unknown_list_version; }

    bool is_stale(TimePoint now) const { return staleness_.is_stale(now); }
    EndpointStaleness::State staleness() const { return staleness_.state(); }

   private:
    void request_update();
    void on_response(PollConnection& connection, const HttpResponse& response) override;
    void on_error(PollConnection& connection, HttpError error, bool was_reached) override;
    void on_overdue();
    void on_update(PollConnection& connection, const EndpointUpdate& update);
    /// Takes over the list or delta and passes it on. Returns whether it has any entries, or is a snapshot.
    bool accept(const EndpointUpdate& update);
    /// Returns whether the response of the connection is late: another request has been sent since.
    bool is_late(const PollConnection& connection) const { return &connection != current_.get(); }
    void on_late_failure(PollConnection& connection);
    void refetch_after(std::string_view reason);
    void fail(std::string_view reason, bool was_reached, Duration pause);
    void fail_unreachable(std::string_view reason, bool was_reached);

    struct ev_loop* loop_;
    Address address_;
    std::string host_;
    const ClusterConfig& config_;
    const Clock& clock_;
    PollBackoff backoff_;
    Counters& counters_;
    Log& log_;
    UpdateHandler update_handler_;
    TimerWatcher pause_timer_;
    TimerWatcher overdue_timer_;  // of the current request, which is kept open when its response is late
    std::unique_ptr<PollConnection> current_;  // of the latest request; null once that is overdue
    LatePolls late_polls_;
    EndpointStaleness staleness_{TimePoint{}};  // set by start() or start_from()
    bool has_list_ = false;
    bool is_failing_ = false;  // the last request failed, and that has been logged
    int64_t version_ = 0;
};

}  // namespace headrouter
