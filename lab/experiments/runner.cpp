#include "experiments/runner.h"

#include <iomanip>
#include <map>
#include <mutex>
#include <sstream>

#include "experiments/sockets_run.h"
#include "experiments/statistics.h"
#include "simulation/thread_pool.h"

namespace headrouter::experiments {
using namespace scenario;

std::vector<Outcome> play(const Experiment& e, const Playing& how) {
    struct Piece {
        const Arm* arm;
        double swept;
        uint64_t seed;
    };
    std::vector<Piece> pieces;
    for (const Point& point : e.points)
        for (const Arm& arm : point.arms)
            for (const uint64_t seed : e.seeds) pieces.push_back({&arm, point.value, seed});
    std::vector<Outcome> outcomes(pieces.size());
    std::vector<char> ended(pieces.size());
    size_t told = 0, count = 0;
    std::mutex order;
    const auto one = [&](size_t k) {
        const Piece& p = pieces[k];
        if (how.stop && how.stop->load()) return;
        Outcome o = how.on == On::model
                        ? simulation::run(p.arm->world, p.arm->placing, p.seed, 1, how.stop)
                        : run_on_sockets(p.arm->world, p.arm->placing.name, p.seed, how.program, how.stop);
        o.experiment = e.name;
        o.swept = p.swept;
        const std::lock_guard held(order);
        outcomes[k] = std::move(o);
        ended[k] = 1;
        if (how.progress) how.progress(++count, pieces.size());
        for (; told < ended.size() && ended[told]; ++told)
            if (how.done) how.done(outcomes[told]);
    };
    // On sockets one at a time: they share the cores with the balancers that they judge.
    simulation::ThreadPool crew(how.on == On::model ? how.threads : 1);
    crew.run(pieces.size(), one);
    const std::lock_guard held(order);
    for (; told < ended.size(); ++told)  // behind one that a stop left out
        if (ended[told] && how.done) how.done(outcomes[told]);
    std::vector<Outcome> all;
    for (size_t k = 0; k < outcomes.size(); ++k)
        if (ended[k]) all.push_back(std::move(outcomes[k]));
    return all;
}

namespace {

std::string with_interval(const Mean& m) {
    std::ostringstream o;
    o << std::fixed << std::setprecision(4) << m.value;
    if (m.n > 1) o << " +-" << std::setprecision(4) << m.half;
    return o.str();
}

struct Row {
    std::vector<double> service, in_time, attempts, moved;
    std::map<uint64_t, double> by_seed;
    uint64_t broken = 0;
    size_t not_judged = 0, partial = 0;
    double slowest = 0;
};

}  // namespace

std::string table_of(const Experiment& e, const std::vector<Outcome>& outcomes) {
    std::ostringstream o;
    const auto cell = [&](const std::string& text, int width) {
        o << std::left << std::setw(width) << text << ' ';
    };
    for (const Point& point : e.points) {
        if (!e.swept.empty()) o << e.swept << " = " << point.value << "\n";
        for (const char* head :
             {"arm", "service", "beside the first", "up in time", "legs/call", "moves/call"})
            cell(head, head == std::string("service") || head == std::string("beside the first") ? 20 : 18);
        o << "rules broken\n";
        std::map<uint64_t, double> first;
        for (const Arm& arm : point.arms) {
            Row row;
            for (const Outcome& out : outcomes) {
                if (out.arm != arm.placing.name || out.swept != point.value) continue;
                row.partial += out.partial;
                if (!out.not_judged.empty()) {
                    ++row.not_judged;
                    continue;
                }
                const double requests = std::max<double>(1, static_cast<double>(out.requests));
                row.service.push_back(out.service());
                row.by_seed[out.seed] = out.service();
                row.in_time.push_back(static_cast<double>(out.up_in_time) / requests);
                row.attempts.push_back(static_cast<double>(out.attempts) / requests);
                row.moved.push_back(static_cast<double>(out.moved) / requests);
                row.broken += out.rules_broken();
            }
            const bool leads = &arm == &point.arms.front();
            if (leads) first = row.by_seed;
            std::vector<double> own, beside;  // only seeds that were judged for both
            for (const auto& [seed, service] : row.by_seed)
                if (const auto it = first.find(seed); it != first.end())
                    own.push_back(service), beside.push_back(it->second);
            const Mean apart = paired_difference(own, beside);
            const bool sure = apart.n > 1 && std::abs(apart.value) > apart.half;
            cell(arm.placing.name, 18), cell(with_interval(mean_of(row.service)), 20);
            cell(leads ? "" : with_interval(apart) + (sure ? "" : " ?"), 20);
            std::ostringstream in_time, attempts, moved;
            in_time << std::fixed << std::setprecision(4) << mean_of(row.in_time).value;
            attempts << std::fixed << std::setprecision(3) << mean_of(row.attempts).value;
            moved << std::fixed << std::setprecision(3) << mean_of(row.moved).value;
            cell(in_time.str(), 18), cell(attempts.str(), 18), cell(moved.str(), 18);
            o << row.broken;
            if (row.partial) o << "  (" << row.partial << " runs partial)";
            if (row.not_judged) o << "  (" << row.not_judged << " runs not judged)";
            o << "\n";
        }
    }
    o << "service +- half the 95% interval over seeds; '?': the interval of the difference holds 0\n";
    return o.str();
}

}  // namespace headrouter::experiments
