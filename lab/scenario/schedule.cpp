#include "scenario/schedule.h"

#include <algorithm>
#include <cmath>

namespace headrouter::scenario {

std::vector<int> some_of(int all, double part, Pcg32& chance) {
    std::vector<int> order(all);
    for (int k = 0; k < all; ++k) order[k] = k;
    for (int k = all - 1; k > 0; --k)
        std::swap(order[k], order[static_cast<int>(chance.uniform() * (k + 1))]);
    order.resize(std::clamp(static_cast<int>(std::lround(all * part)), 1, all));
    return order;
}

namespace {

using What = ScheduledAction::What;
constexpr int drain_steps = 10;      // a draining server moves its connections away in this many steps
constexpr double drain_share = 0.6;  // of the time that a deploy takes per server; the rest is the restart

class ScheduleBuilder {
   public:
    ScheduleBuilder(const Scenario& w, uint64_t seed) : w_(w), chance_(seed, 23) {}

    std::vector<ScheduledAction> all() {
        for (const Incident& t : w_.incidents) add_incident(t);
        std::stable_sort(actions_.begin(), actions_.end(),
                         [](const ScheduledAction& a, const ScheduledAction& b) { return a.at < b.at; });
        return std::move(actions_);
    }

   private:
    void add(TimePoint at, What what, int target = -1, double size = 0) {
        actions_.push_back({at, what, target, size});
    }

    // Adds a process that dies and restarts cold under the same id. If it is back before its notice
    // time ends, the endpoint list shows a restart only.
    void add_failure(const Incident& t, int server, What how, Duration notice) {
        const TimePoint back = t.at + t.lasts;
        add(t.at, how, server);
        if (t.lasts > notice) add(t.at + notice, What::list_gone, server);
        add(back, What::start_cold, server);
        add(back + w_.add_notice, What::list_serving, server);
    }

    void add_drain(TimePoint at, Duration takes, int server, bool comes_back) {
        add(at, What::drain, server);
        add(at, What::list_draining, server);
        for (int k = 1; k <= drain_steps; ++k)
            add(at + takes * (static_cast<double>(k) / drain_steps), What::move_one_part, server,
                1.0 / (drain_steps - k + 1));
        add(at + takes, What::die, server);
        add(at + takes, What::list_gone, server);
        if (comes_back) {
            const TimePoint back = at + takes * (1 / drain_share);
            add(back, What::start_cold, server);
            add(back + w_.add_notice, What::list_serving, server);
        }
    }

    void add_incident(const Incident& t) {
        const TimePoint over = t.at + t.lasts;
        const auto on_some = [&](What begin, What end, double size, double after) {
            for (const int s : some_of(w_.servers, t.part, chance_))
                add(t.at, begin, s, size), add(over, end, s, after);
        };
        switch (t.kind) {
            case IncidentKind::crash:
                for (const int s : some_of(w_.servers, t.part, chance_))
                    add_failure(t, s, What::die, w_.gone_notice);
                break;
            case IncidentKind::vanish:
                for (const int s : some_of(w_.servers, t.part, chance_))
                    add_failure(t, s, What::vanish, w_.silent_notice);
                break;
            case IncidentKind::hang: on_some(What::hang, What::answer_again, 0, 0); break;
            case IncidentKind::slow: on_some(What::speed, What::speed, t.size, 1); break;
            case IncidentKind::errors: on_some(What::errors, What::errors, t.size, 0); break;
            case IncidentKind::full: on_some(What::full, What::full, 1, 0); break;
            case IncidentKind::deploy: {
                const auto order = some_of(w_.servers, t.part, chance_);
                const Duration step = t.lasts * (1.0 / static_cast<double>(order.size()));
                for (size_t k = 0; k < order.size(); ++k)
                    add_drain(t.at + step * static_cast<double>(k), step * drain_share, order[k], true);
                break;
            }
            case IncidentKind::shrink:
                for (const int s : some_of(w_.servers, t.part, chance_)) add_drain(t.at, t.lasts, s, false);
                break;
            case IncidentKind::burst:
            case IncidentKind::heavy: break;  // applied when the sessions are drawn
            case IncidentKind::reconnect: add(t.at, What::clients_drop, -1, t.part); break;
            case IncidentKind::list_outage: add(t.at, What::list_silent), add(over, What::list_sound); break;
            case IncidentKind::list_garbled:
                add(t.at, What::list_garbled), add(over, What::list_sound);
                break;
            case IncidentKind::list_back: add(t.at, What::list_back), add(over, What::list_sound); break;
            case IncidentKind::balancer_crash:
                for (const int b : some_of(w_.balancers, t.part, chance_))
                    add(t.at, What::balancer_dies, b), add(over, What::balancer_starts, b);
                break;
        }
    }

    const Scenario& w_;
    Pcg32 chance_;
    std::vector<ScheduledAction> actions_;
};

}  // namespace

std::vector<ScheduledAction> schedule_of(const Scenario& w, uint64_t seed) {
    return ScheduleBuilder(w, seed).all();
}

}  // namespace headrouter::scenario
