// The usual ways to balance, as a comparison: random, least connections, two random choices (Mitzenmacher,
// "The power of two choices in randomized load balancing", 2001), weighted rendezvous hashing (Thaler and
// Ravishankar, 1998). Each by listed weight, from own counts, with what any balancer would have beside it:
// a server that fails a set-up is passed over for a second, a failed set-up is tried elsewhere while the
// request class lets it, what drains gets nothing new. They move nobody and spare no cold server.
#pragma once
#include <unordered_map>
#include <vector>

#include "base/pcg32.h"
#include "simulation/policy_factory.h"

namespace headrouter::simulation {

class Baseline : public Policy {
   public:
    Baseline(PolicyKind, PolicyConfig, uint64_t seed, PolicyActions&);
    void on_request(TimePoint, Request) override;
    void on_client_gone(TimePoint, RequestId) override;
    void on_attempt_established(TimePoint, RequestId, int attempt, Duration took) override;
    void on_attempt_ended(TimePoint, RequestId, int attempt, AttemptOutcome, Duration took,
                          bool final) override;
    void on_load_report(TimePoint, RequestId, double) override {}
    void on_latency_report(TimePoint, const ServerId&, double) override {}
    void on_endpoints(TimePoint, EndpointUpdateKind, const std::vector<Endpoint>&) override;
    void on_gossip(TimePoint, int, const std::string&) override {}
    void on_timer(TimePoint, uint64_t) override {}

   private:
    struct Place {
        Endpoint listed;
        int connections = 0;
        TimePoint passed_over_until;
    };
    struct Held {
        Request request;
        int server = -1, attempts = 0, first_run = -1;  // the server where it may first have run
        TimePoint first_run_at;
    };
    void try_next(TimePoint, Held&);
    bool may_try(TimePoint, const Held&) const;
    bool fits(const Held&, const Place&) const;
    int choose(TimePoint, const Held&);
    static double relative_load(const Place& p) { return p.connections / std::max(p.listed.weight, 1e-3); }
    void end(Held&, bool run_maybe);

    PolicyKind kind_;
    PolicyConfig told_;
    Pcg32 chance_;
    PolicyActions& out_;
    std::vector<Place> places_;
    std::unordered_map<ServerId, int> index_;
    std::unordered_map<RequestId, Held> requests_;
};

}  // namespace headrouter::simulation
