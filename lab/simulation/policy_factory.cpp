#include "simulation/policy_factory.h"

#include <array>
#include <utility>

#include "capture/recorder.h"
#include "simulation/baseline.h"

namespace headrouter::simulation {

namespace {

class BalancingPolicyAdapter : public Policy {
   public:
    BalancingPolicyAdapter(const PolicyConfig& d, uint64_t seed, PolicyActions& out, TimePoint now,
                           const Recording& to)
        : policy_(d, seed, out, now) {
        if (to.folder.empty()) return;
        capture::RecorderConfig keeping;
        keeping.folder = to.folder;
        keeping.queue_bytes = size_t{1} << 30;  // virtual time waits for no disk, and nothing may be missing
        recorder_ = std::make_unique<capture::Recorder>(keeping, to.name, "model");
        policy_.record_to(recorder_.get());
    }
    void on_request(TimePoint now, Request request) override { policy_.on_request(now, std::move(request)); }
    void on_client_gone(TimePoint now, RequestId id) override { policy_.on_client_gone(now, id); }
    void on_attempt_established(TimePoint now, RequestId id, int attempt, Duration took) override {
        policy_.on_attempt_established(now, id, attempt, took);
    }
    void on_attempt_ended(TimePoint now, RequestId id, int attempt, AttemptOutcome ending, Duration took,
                          bool final) override {
        policy_.on_attempt_ended(now, id, attempt, ending, took, final, {});
    }
    void on_load_report(TimePoint now, RequestId id, double micros) override {
        policy_.on_load_report(now, id, micros);
    }
    void on_latency_report(TimePoint now, const ServerId& id, double ms) override {
        if (policy_.has_server(id)) policy_.on_latency_report(now, id, ms);
    }
    void on_endpoints(TimePoint now, EndpointUpdateKind kind, const std::vector<Endpoint>& list) override {
        policy_.on_endpoints(now, kind, list);
    }
    void on_timer(TimePoint now, uint64_t token) override { policy_.on_timer(now, token); }
    void on_gossip(TimePoint now, int slot, const std::string& bytes) override {
        policy_.on_gossip(now, slot, bytes);
    }

   private:
    std::unique_ptr<capture::Recorder> recorder_;
    capture::RecordingPolicy policy_;
};

constexpr std::array<std::pair<const char*, PolicyKind>, 5> names{
    {{"brain", PolicyKind::balancing},
     {"random", PolicyKind::random},
     {"least_connections", PolicyKind::least_connections},
     {"two_choices", PolicyKind::two_choices},
     {"rendezvous", PolicyKind::rendezvous}}};

}  // namespace

const char* word(PolicyKind kind) { return names[static_cast<size_t>(kind)].first; }

bool policy_from(const std::string& text, PolicyKind& kind) {
    for (const auto& [name, k] : names)
        if (text == name) return kind = k, true;
    return false;
}

std::unique_ptr<Policy> make_policy(PolicyKind kind, const PolicyConfig& d, uint64_t seed, PolicyActions& out,
                                    TimePoint now, const Recording& to) {
    if (kind == PolicyKind::balancing) return std::make_unique<BalancingPolicyAdapter>(d, seed, out, now, to);
    return std::make_unique<Baseline>(kind, d, seed, out);
}

}  // namespace headrouter::simulation
