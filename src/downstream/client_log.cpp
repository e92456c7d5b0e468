#include "downstream/client_log.h"

#include <utility>

#include "downstream/request_line_deadline.h"
#include "transport/line_text.h"

namespace headrouter {

namespace {

constexpr int max_dismissals_logged_per_second = 5;
constexpr int64_t ns_per_ms = 1'000'000;

int64_t to_ms(Duration duration) { return duration.ns / ns_per_ms; }

std::string_view name_of(DismissalReason reason) {
    switch (reason) {
        case DismissalReason::silent: return "silent";
        case DismissalReason::unfinished_line: return "unfinished_line";
        case DismissalReason::evicted: return "evicted";
        case DismissalReason::shutting_down: return "shutting_down";
    }
    return "unknown";
}

bool is_overdue(const Client& client, TimePoint now) {
    return client.connection->has_partial_line() &&
           now - client.line_started_at > unfinished_request_answer_limit;
}

}  // namespace

void ClientLog::on_connected(RequestId id, int open_descriptors) {
    log_.debug("client_connected", {{"request", id}, {"open_descriptors", open_descriptors}});
}

void ClientLog::on_line_begun(const Client& client, TimePoint now) {
    log_.debug("client_line_begun", {{"request", client.connection->id()},
                                     {"age_ms", to_ms(now - client.connected_at)},
                                     {"probed", client.has_probed}});
}

void ClientLog::on_malformed_line(const Client& client, std::string_view problem) {
    log_.debug("request_malformed", {{"request", client.connection->id()}, {"found", problem}});
}

void ClientLog::on_left(const Client& client, CloseReason reason, TimePoint now) {
    log_.debug("client_left", {{"request", client.connection->id()},
                               {"by", reason == CloseReason::fin ? "fin" : "reset"},
                               {"age_ms", to_ms(now - client.connected_at)},
                               {"probed", client.has_probed}});
}

void ClientLog::on_dismissed(const Client& client, DismissalReason reason, std::string_view reply,
                             TimePoint now) {
    const bool has_partial_line = client.connection->has_partial_line();
    if (is_overdue(client, now)) counters_.add(Counter::request_lines_overdue);
    if (reason == DismissalReason::unfinished_line) counters_.add(Counter::request_lines_unfinished);
    if (!may_log_dismissal(now)) {
        ++dismissals_unlogged_;
        return;
    }
    const Duration line_age = has_partial_line ? now - client.line_started_at : Duration{};
    log_.info("client_dismissed", {{"request", client.connection->id()},
                                   {"reason", name_of(reason)},
                                   {"reply", trim_line_end(reply)},
                                   {"age_ms", to_ms(now - client.connected_at)},
                                   {"line_age_ms", to_ms(line_age)},
                                   {"line_bytes", client.connection->partial_line_size()},
                                   {"probed", client.has_probed},
                                   {"unlogged_before", std::exchange(dismissals_unlogged_, 0)}});
}

bool ClientLog::may_log_dismissal(TimePoint now) {
    if (now - second_started_at_ >= seconds(1)) {
        second_started_at_ = now;
        dismissals_logged_ = 0;
    }
    if (dismissals_logged_ >= max_dismissals_logged_per_second) return false;
    ++dismissals_logged_;
    return true;
}

}  // namespace headrouter
