/// Manages the connections to servers, one for each attempt, from the connect to the last line.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admin/counters.h"
#include "transport/event_watcher.h"
#include "transport/lingering_closer.h"
#include "upstream/address_health.h"
#include "upstream/report_classifier.h"
#include "upstream/server_line.h"
#include "upstream/upstream_interface.h"

namespace headrouter {

/// Connects attempts to servers, forwards their lines, classifies load and latency reports, and ends attempts
/// whose server is silent. Must be used on the thread of the event loop. All references passed in must
/// outlive this object.
class Upstream : public UpstreamInterface, private LineConnection::Owner {
   public:
    Upstream(struct ev_loop* loop, LingeringCloser& lingering_closer, Counters& counters,
             ReportClassifier classifier);

    /// Must be called before the first attempt.
    void set_event_handler(UpstreamEvents& events) { events_ = &events; }

    void start_attempt(RequestId id, const Address& address, std::string request_line,
                       const AttemptTimeouts& timeouts) override;
    void forward(RequestId id, std::string_view bytes) override;
    void close(RequestId id, CloseReason reason) override;
    void pause_reading(RequestId id, bool is_paused) override;
    size_t unsent_bytes(RequestId id) const override;

    /// Sets the smallest latency that servers report; zero means that they report loads only.
    void set_min_reported_latency(double min_latency_ms) { classifier_.set_min_latency(min_latency_ms); }

    /// Closes this process's descriptors of all connections without sending anything to the servers: another
    /// process has taken the connections over.
    void detach_all();

    /// Ends the attempts whose servers are silent and resolves undecided reports. Called several times a
    /// second.
    void check_silence(TimePoint now);

    size_t size() const { return attempts_.size(); }

    /// The progress of an attempt. A hot restart transfers the numeric values, so new ones are added at the
    /// end.
    enum class Stage { connecting, sending, awaiting_response, established };

    /// The state of an attempt, apart from its connection.
    struct AttemptState {
        std::string request_line;
        std::string address;  ///< the bytes of the socket address
        Stage stage = Stage::connecting;
        TimePoint response_deadline;
        TimePoint timer_due;         ///< when the timer expires; unused once established
        TimePoint unanswered_since;  ///< when the first line after the server's latest was forwarded,
                                     ///< plus stalls; zero if none was, or while reading is paused
        ReportHistory reports;
        bool received_bye = false;
        bool received_move = false;
        bool is_reading_paused = false;
    };

    /// The state, apart from descriptors, with which the next process of a hot restart continues all
    /// attempts.
    struct State {
        struct TransferredAttempt {
            AttemptState attempt;
            LineConnection::State connection;
        };

        ReportClassifier::State classifier;
        TimePoint last_check;
        AddressHealthTable::State addresses;  ///< has an entry for the address of each attempt
        std::map<RequestId, TransferredAttempt> attempts;
    };
    State state() const;

    /// Returns the descriptors of the attempts in the order of `State::attempts`; the attempts keep
    /// ownership.
    std::vector<int> descriptors() const;

    /// Takes over the attempts of another process, before this one starts its first attempt. `descriptors`
    /// are in the order of `State::attempts`.
    void restore(State state, std::span<FileDescriptor> descriptors);

   private:
    struct Attempt : AttemptState {
        Attempt(struct ev_loop* loop, Upstream& owner, RequestId attempt_id)
            : id(attempt_id), timer(loop, [&owner, attempt_id] { owner.on_timeout(attempt_id); }) {}

        RequestId id;
        TimerWatcher timer;
        std::unique_ptr<LineConnection> connection;
        /// When the request line may no longer be sent. Not transferred: after a hot restart the router's
        /// `may_send` alone holds an attempt back, whose connection then comes up too late.
        std::optional<TimePoint> send_deadline;
        bool timer_is_send_limit = false;  ///< the timer expires at `send_deadline`

        /// Returns whether the server cannot have received the whole request line yet.
        bool is_unsent() const { return stage == Stage::connecting || stage == Stage::sending; }
    };

    struct ResolvedReport {
        RequestId id = 0;
        ReportKind kind = ReportKind::undecided;
        double value = 0;
    };

    void on_connected(LineConnection& connection) override;
    void on_bytes(LineConnection& connection, std::string_view bytes, bool complete) override;
    void on_closed(LineConnection& connection, CloseReason reason) override;
    void on_output_drained(LineConnection& connection) override;
    void on_timeout(RequestId id);
    void on_response(Attempt& attempt, std::string_view bytes, bool is_whole_line);
    void on_report(Attempt& attempt, std::string_view value_text);
    void publish_report(const ResolvedReport& report);

    std::unique_ptr<Attempt> make_attempt(RequestId id);
    std::unique_ptr<LineConnection> make_connection(FileDescriptor socket, RequestId id);
    Attempt* find(RequestId id);
    static void set_timer(Attempt& attempt, Duration delay);
    /// Sets the timer of an unsent attempt to `delay`, or to the time left to send if that is shorter.
    static void set_timer_until_sent(Attempt& attempt, Duration delay);
    void end_attempt(RequestId id, AttemptResult result);

    void count_unanswered(TimePoint now, Duration process_stall);
    bool is_silent(const Attempt& attempt, TimePoint now) const;
    std::vector<RequestId> silent_attempts(TimePoint now) const;
    std::vector<ResolvedReport> resolve_reports(TimePoint now);

    struct ev_loop* loop_;
    LingeringCloser& lingering_closer_;
    Counters& counters_;
    ReportClassifier classifier_;
    TimePoint last_check_;  // of silence; zero before the first check
    UpstreamEvents* events_ = nullptr;
    std::unordered_map<RequestId, std::unique_ptr<Attempt>> attempts_;
    AddressHealthTable addresses_;
};

}  // namespace headrouter
