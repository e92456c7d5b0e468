#include "capture/fleet_description.h"

#include <array>
#include <cstdio>
#include <optional>
#include <sstream>

#include "capture/policy_state.h"
#include "capture/replay.h"

namespace headrouter::capture {

namespace {

// Collects reasons in one text, separated by commas.
class Reasons {
   public:
    void add_if(bool applies, const char* reason) {
        if (!applies) return;
        if (!text_.empty()) text_ += ", ";
        text_ += reason;
    }
    [[nodiscard]] const std::string& text() const { return text_; }

   private:
    std::string text_;
};

class FleetDescription {
   public:
    FleetDescription(BalancingPolicy::Parts parts, TimePoint now, const RequestState& request)
        : now_(now), parts_(parts), fleet_(parts_.shares.view(now, &request)) {}

    [[nodiscard]] std::string text() const {
        std::ostringstream out;
        out << summary() << column_names();
        for (const ServerIndex index : parts_.servers.indexes()) {
            const ServerState& server = parts_.servers[index];
            const bool is_gone =
                server.endpoint.state == EndpointState::removed && server.connections.empty();
            if (!is_gone) out << row(index, server);
        }
        return out.str();
    }

   private:
    static constexpr size_t line_bytes = 200;

    [[nodiscard]] std::string summary() const {
        std::array<char, line_bytes> line{};
        std::snprintf(line.data(), line.size(),
                      "  own load %.2f including this request, %d servers may take it, %d of them at their "
                      "ceilings%s\n",
                      fleet_.total_load, fleet_.open_servers, fleet_.slow_servers,
                      fleet_.is_mostly_slow ? "; much of the fleet is slow" : "");
        return line.data();
    }

    [[nodiscard]] static std::string column_names() {
        std::array<char, line_bytes> line{};
        std::snprintf(line.data(), line.size(), "  %-14s %8s %8s %9s %9s %7s %6s  %s\n", "server", "load",
                      "share", "ceiling", "distrust", "warm", "calls", "");
        return line.data();
    }

    [[nodiscard]] std::string row(ServerIndex index, const ServerState& server) const {
        std::array<char, line_bytes> line{};
        std::snprintf(line.data(), line.size(), "  %-14s %8.2f %8.2f %9s %9.2f %7.2f %6zu  ",
                      server.endpoint.server.c_str(), parts_.loads.load_on(server),
                      parts_.shares.share(fleet_, index), load_limit_text(server).c_str(),
                      server.outliers.failure_penalty(now_), parts_.warmup.slow_start_factor(now_, server),
                      server.connections.size());
        return line.data() + reasons_against(index, server) + "\n";
    }

    // Returns null for a server without an entry in the view's list of degraded servers.
    [[nodiscard]] const FleetView::DegradedServer* degraded(const ServerState& server) const {
        return server.degraded_index ? &fleet_.degraded[*server.degraded_index] : nullptr;
    }

    [[nodiscard]] std::optional<double> load_limit(const ServerState& server) const {
        const FleetView::DegradedServer* const view = degraded(server);
        return view ? view->load_limit : std::nullopt;
    }

    [[nodiscard]] std::string load_limit_text(const ServerState& server) const {
        const std::optional<double> limit = load_limit(server);
        if (!limit) return "-";
        std::array<char, 24> text{};
        std::snprintf(text.data(), text.size(), "%.2f", *limit);
        return text.data();
    }

    [[nodiscard]] std::string reasons_against(ServerIndex index, const ServerState& server) const {
        const EndpointState state = server.endpoint.state;
        const OutlierDetector& outliers = server.outliers;
        const FleetView::DegradedServer* const view = degraded(server);
        const std::optional<double> limit = load_limit(server);
        Reasons reasons;
        reasons.add_if(state == EndpointState::draining, "draining");
        reasons.add_if(state == EndpointState::removed, "removed from the endpoint list");
        reasons.add_if(index == fleet_.excluded_server, "the previous attempt of this request failed here");
        reasons.add_if(outliers.is_ejected(now_), "ejected");
        reasons.add_if(outliers.is_in_backoff(now_), "skipped after failures");
        reasons.add_if(outliers.is_failing() && server.pending_attempts > 0,
                       "failing: one attempt at a time");
        reasons.add_if(parts_.warmup.is_cold(now_, server), "cold");
        reasons.add_if(view && view->is_counted && !view->is_open, "no warm-up permit for this request");
        reasons.add_if(limit && parts_.loads.load_on(server) > *limit, "over its ceiling");
        return reasons.text();
    }

    TimePoint now_;
    BalancingPolicy::Parts parts_;
    FleetView fleet_;
};

}  // namespace

std::string describe_fleet(const BalancingPolicy& policy, TimePoint now, const RequestState& request) {
    // Computing a view removes recovered servers from the policy's list of degraded servers, so the view is
    // computed on a copy.
    ReplayedPolicy copy;
    copy.restore(state_of(policy));
    return FleetDescription(copy.policy().parts(), now, request).text();
}

}  // namespace headrouter::capture
