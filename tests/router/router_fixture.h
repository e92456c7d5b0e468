/// A request router between fake clients and fake servers. The test controls the time.
#pragma once
#include <sstream>
#include <string>
#include <vector>

#include "policy_helpers.h"
#include "router/request_router.h"

/// Three request classes: "chat" is idempotent, "pay" is not, "book" is keyed.
inline const std::string router_settings = R"({"az":0,"discovery":"push","stepNs":2000000,
"ceilings":{"maxLegs":3,"retryAfter":true,"maxRetryAfterNs":1500000000,"dialTimeoutNs":150000000},
"invariants":{"coldNs":8700000000},"domain":{"groups":true,"tellsDelay":true,"messageAimNs":[60000000,60000000]},
"realms":[{"name":"x"},{"name":"y"}],"failureDomains":["a","b"],
"trafficTypes":[{"name":"chat","effect":"pure","setupTargetNs":800000000,"guardTimeNs":3200000000},
{"name":"pay","effect":"side_effect","setupTargetNs":800000000,"guardTimeNs":3200000000},
{"name":"book","effect":"token","keyScope":"all","windowNs":1000000000,"setupTargetNs":800000000,
"guardTimeNs":3200000000}]})";

inline const std::string chat_request = "c=chat,t=x,d=2000,g=q";
inline const std::string pay_request = "c=pay,t=x,d=2000,g=q";
inline const std::string book_request = "c=book,t=x,d=3000,g=q";

using Lines = std::vector<std::string>;

/// Records the router's actions on clients, in order: "reply 1 BUSY\r\n", "close 1", ...
struct FakeDownstream : DownstreamInterface {
    Lines actions;
    size_t unsent = 0;
    bool is_client_reset = false;
    std::function<void(RequestId)> on_poll = [](RequestId) {};

    void record(const std::string& action, RequestId id, std::string_view bytes = "") {
        std::string line = action + " " + std::to_string(id);
        if (!bytes.empty()) line += " " + std::string(bytes);
        actions.push_back(line);
    }
    void forward(RequestId id, std::string_view bytes) override { record("forward", id, bytes); }
    void start(RequestId id) override { record("start", id); }
    void reply(RequestId id, std::string_view line) override { record("reply", id, line); }
    void close(RequestId id, CloseReason reason) override {
        record(reason == CloseReason::reset ? "reset" : "close", id);
    }
    void pause_reading(RequestId id, bool is_paused) override { record(is_paused ? "pause" : "resume", id); }
    size_t unsent_bytes(RequestId) const override { return unsent; }
    void poll_now(RequestId id) override { on_poll(id); }
    bool is_reset(RequestId) const override { return is_client_reset; }
};

/// Records the bytes that the router sends to servers, and the actions "close", "reset", "pause", "resume".
struct FakeUpstream : UpstreamInterface {
    Lines actions;
    AttemptTimeouts timeouts;  ///< of the latest attempt
    std::function<void(RequestId)> on_start_attempt;

    void start_attempt(RequestId id, const Address&, std::string line,
                       const AttemptTimeouts& attempt_timeouts) override {
        actions.push_back(line);
        timeouts = attempt_timeouts;
        if (on_start_attempt) on_start_attempt(id);
    }
    void forward(RequestId, std::string_view bytes) override { actions.emplace_back(bytes); }
    void close(RequestId, CloseReason reason) override {
        actions.emplace_back(reason == CloseReason::reset ? "reset" : "close");
    }
    void pause_reading(RequestId, bool is_paused) override {
        actions.emplace_back(is_paused ? "pause" : "resume");
    }
    size_t unsent_bytes(RequestId) const override { return 0; }
};

/// A router that knows the servers "s1" and "s2".
struct RouterFixture {
    FakeDownstream downstream;
    FakeUpstream upstream;
    Counters counters;
    std::ostringstream log_text;
    Log log{log_text, LogLevel::debug};
    TimePoint now = cycle_start;
    std::vector<RecordingActions::Timer> timers;
    bool has_memory = true;
    RequestRouter router{
        parse_cluster_config(router_settings),
        7,
        downstream,
        upstream,
        {[this] { return now; },
         [this](TimePoint due, uint64_t token) {
             timers.push_back({due, token});
         },
         [this] { return has_memory ? std::nullopt : std::optional(Counter::refused_for_memory); }},
        counters,
        log};
    Clock clock;

    explicit RouterFixture(const std::string& lifecycle = "SERVING") {
        update_endpoint(true, "s1", lifecycle);
        update_endpoint(false, "s2", lifecycle);
    }
    void update_endpoint(bool is_snapshot, const std::string& id, const std::string& lifecycle) {
        const std::string body = R"({"generation":1,"reset":)" + std::string(is_snapshot ? "true" : "false") +
                                 R"(,"instances":[{"instanceId":")" + id +
                                 R"(","hostPort":"127.0.0.1:1","zone":"a","lifecycle":")" + lifecycle +
                                 R"("}]})";
        router.on_endpoints(is_snapshot ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta,
                            parse_endpoint_update(body, router.config(), clock));
    }
    /// Returns the id of a request on the wire, for example "fffffffffffffff1" for request 1.
    static std::string wire_id(RequestId id) {
        const std::string digits = std::to_string(id);
        return std::string(16 - digits.size(), 'f') + digits;
    }
    /// Lets a client send its request line.
    void open(RequestId id, const std::string& fields = chat_request) {
        router.on_request_line(id, "OPEN " + wire_id(id) + " 7f3a " + fields + "\r\n");
    }
    /// Opens a request, lets the first server accept it, and clears the recorded actions.
    void establish(RequestId id, const std::string& fields = chat_request) {
        open(id, fields);
        router.on_attempt_established(id, "UP r\r\n");
        downstream.actions.clear();
        upstream.actions.clear();
    }
    /// Ends the running attempt of a request with an event from its server.
    void end_attempt(RequestId id, AttemptOutcome outcome, CloseReason reason,
                     const std::string& last_line = {}) {
        router.on_attempt_ended(id, {outcome, reason, false, last_line});
    }
    void reject_attempt(RequestId id, const std::string& last_line = {}) {
        end_attempt(id, AttemptOutcome::at_capacity, CloseReason::fin, last_line);
    }
    void reset_attempt(RequestId id) { end_attempt(id, AttemptOutcome::reset, CloseReason::reset); }
    void advance(Duration duration) { now = now + duration; }
    void advance_and_tick(Duration duration) {
        advance(duration);
        router.on_tick();
    }
};
