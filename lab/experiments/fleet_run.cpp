#include "experiments/fleet_run.h"

#include <rapidjson/document.h>
#include <rapidjson/pointer.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cinttypes>
#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "base/parse_error.h"
#include "experiments/child.h"
#include "experiments/run_folder.h"
#include "testbed/polling_client.h"
#include "testbed/process_fleet.h"
#include "transport/clock.h"

namespace headrouter::experiments {
using namespace scenario;

namespace {

constexpr Duration start_patience = seconds(30), front_notice = seconds(1), front_returns = millis(200);
// New connections go on coming for a while after SIGTERM, as on the platform; then the process has its time.
constexpr Duration front_learns_of_leaving = millis(300), leaving_patience = seconds(5);
constexpr Duration handover_patience = seconds(6), step = millis(2), settling = millis(300);
constexpr Duration begin_ahead = millis(100), reap_every = millis(50);
constexpr Duration late_by = millis(100), too_late = millis(500);
constexpr int starts_at_once = 16, starts_a_turn = 4, log_tail = 4;

// The configuration with some of its settings changed: "ceilings.maxLegs" to a piece of JSON.
std::string with_settings(const std::string& config,
                          const std::vector<std::pair<std::string, std::string>>& sets) {
    rapidjson::Document doc;
    doc.Parse(config.c_str());
    for (const auto& [path, json] : sets) {
        std::string pointer = "/settings/" + path;
        for (char& c : pointer)
            if (c == '.') c = '/';
        rapidjson::Document value(&doc.GetAllocator());
        if (value.Parse(json.c_str()).HasParseError()) throw ParseError("'" + json + "' is no JSON");
        rapidjson::Pointer(pointer.c_str()).Set(doc, value);
    }
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer(text);
    doc.Accept(writer);
    return {text.GetString(), text.GetSize()};
}

// The wall clock that a balancer reads, beside the true one.
class WrongClock {
   public:
    explicit WrongClock(const std::string& path) : path_(path) {
        std::ofstream out(path, std::ios::binary);
        const int64_t none = 0;
        out.write(reinterpret_cast<const char*>(&none), sizeof none);
    }
    const std::string& path() const { return path_; }
    void set(Duration ahead) const {
        std::fstream out(path_, std::ios::in | std::ios::out | std::ios::binary);
        out.write(reinterpret_cast<const char*>(&ahead.ns), sizeof ahead.ns);
    }

   private:
    std::string path_;
};

// All processes of all balancers, and what the script does to them.
class Processes {
   public:
    Processes(const Scenario& w, const FleetRunOptions& play, testbed::ProcessFleet& fleet,
              std::string folder)
        : w_(w),
          play_(play),
          fleet_(fleet),
          folder_(std::move(folder)),
          operator_file_(play.operator_file),
          seats_(static_cast<size_t>(w.balancers)) {
        for (const FaultInjection& s : fleet.injections())
            has_clocks_ = has_clocks_ || s.fault.kind == FaultKind::clock;
        if (operator_file_.empty() && (w.by_number || w.pooled)) {
            operator_file_ = folder_ + "/operator.toml";
            std::ofstream(operator_file_) << "[spread]\nby_number = " << (w.by_number ? "true" : "false")
                                          << "\npooled = " << (w.pooled ? "true" : "false") << "\n";
        }
        if (has_clocks_ && access(play.clock.c_str(), R_OK) != 0)
            throw std::runtime_error("'" + play.clock + "', the library of clocks, is not there");
    }

    // All of them, a few at a time: a process takes milliseconds, and the first are served meanwhile.
    bool start_all(const std::function<bool()>& stopped) {
        const TimePoint give_up = Clock::now() + start_patience;
        int begun = 0, ready = 0;
        std::vector<char> is_ready(seats_.size());
        while (ready < w_.balancers) {
            if (stopped()) return false;
            for (; begun < w_.balancers && begun - ready < starts_at_once; ++begun) start(begun);
            for (int b = 0; b < begun; ++b) {
                Seat& s = seats_[static_cast<size_t>(b)];
                if (is_ready[static_cast<size_t>(b)]) continue;
                if (takes_clients(s)) is_ready[static_cast<size_t>(b)] = 1, ++ready;
                if (s.life && s.life->crashed())
                    throw std::runtime_error("a balancer ended by " + s.life->ended_how() + ": " +
                                             last_lines(s.life->log(), log_tail));
            }
            if (Clock::now() > give_up)
                throw std::runtime_error("only " + std::to_string(ready) + " balancers are ready after 30 s");
            usleep(1000);
        }
        return true;
    }

    void lay_out() {
        for (const FaultInjection& s : fleet_.injections())
            for (const int b : s.balancers) lay_out(s, b);
        for (const ScheduledAction& d : fleet_.actions()) {
            if (d.what == ScheduledAction::What::balancer_dies) at(d.at, [this, b = d.target] { kill(b); });
            if (d.what == ScheduledAction::What::balancer_starts)
                at(d.at, [this, b = d.target] { come_back(b); });
        }
    }

    void turn() {
        const TimePoint now = fleet_.now();
        while (!due_.empty() && due_.begin()->first <= now) {
            const Duration late = now - due_.begin()->first;
            worst_late_ = std::max(worst_late_, late);
            const auto what = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            what();
        }
        for (int k = 0; k < starts_a_turn && !starts_.empty() && !over_; ++k) {
            if (!seat(starts_.front()).life) start(starts_.front());
            starts_.pop_front();
        }
        if (now - reaped_ < reap_every) return;
        reaped_ = now;
        for (int b = 0; b < w_.balancers; ++b) look_after(b);
    }

    // Ended by the run, not by itself; stopped ones too.
    void end_all() {
        over_ = true;
        for (Seat& s : seats_)
            for (Child* c : {s.life.get(), s.older.get()})
                if (c) c->signal(SIGCONT), c->ask_to_leave();
        const TimePoint last = Clock::now() + leaving_patience;
        bool any = true;
        while (any && Clock::now() < last) {
            any = false;
            for (int b = 0; b < w_.balancers; ++b) {
                Seat& s = seats_[static_cast<size_t>(b)];
                for (Child* c : {s.life.get(), s.older.get()}) {
                    if (!c || !c->runs()) continue;
                    if (c->crashed() && c->ended_how() != "exit code 0") note_crash(b, *c);
                    any = any || c->runs();
                }
            }
            usleep(2000);
        }
        for (Seat& s : seats_) {
            retire(s.life), retire(s.older);
            for (std::unique_ptr<Child>& c : s.dying) retire(c);
        }
    }

    double cpu_seconds() const { return cpu_; }
    int crashes() const { return crashes_; }
    const std::vector<std::string>& said() const { return said_; }
    Duration worst_late() const { return worst_late_; }

   private:
    struct Seat {
        std::vector<std::unique_ptr<Child>> dying;  // killed, not gone yet
        std::unique_ptr<Child> life, older;         // `older` hands over or leaves beside its successor
        std::unique_ptr<WrongClock> clock;
        testbed::PollingClient asker;
        std::string ops;
        int lives = 0, stalls = 0;
        bool leaving = false, returns = false;  // told to leave; is started again when it has
        TimePoint stalled_from, leave_by;
        std::vector<std::pair<std::string, std::string>> sets;  // of the latest reload
        bool up = false;                                        // the front has been told
        TimePoint awaited;                                      // until when a successor has to say yes
    };

    void at(TimePoint when, std::function<void()> what) { due_.emplace(when, std::move(what)); }
    Seat& seat(int b) { return seats_[static_cast<size_t>(b)]; }

    void start(int b, const std::string& program = {}) {
        Seat& s = seat(b);
        const std::string name = fleet_.seat(b).name + "." + std::to_string(s.lives);
        s.ops = fleet_.admin_address(b, s.lives);
        s.life =
            std::make_unique<Child>(program.empty() ? play_.program : program, folder_, name, operator_file_);
        if (has_clocks_) {
            if (!s.clock)
                s.clock = std::make_unique<WrongClock>(folder_ + "/" + fleet_.seat(b).name + ".clock");
            s.life->set_environment({{"LD_PRELOAD", play_.clock}, {"HEADROUTER_CLOCK", s.clock->path()}});
        }
        s.asker.close();
        s.life->start(with_settings(fleet_.config(b, s.lives++), s.sets));
    }

    static bool takes_clients(Seat& s) { return s.asker.heard(s.ops, "STATUS\r\n", "done"); }

    void retire(std::unique_ptr<Child>& c) {
        if (!c) return;
        c->kill();
        cpu_ += c->cpu_seconds();
        c.reset();
    }

    void lay_out(const FaultInjection& s, int b) {
        switch (s.fault.kind) {
            case FaultKind::stall:
                at(s.from, [this, b] { stall(b); });
                return at(s.until, [this, b] { go_on(b); });
            case FaultKind::kill:
                at(s.from, [this, b] { kill(b); });
                return at(s.until, [this, b] { come_back(b); });
            case FaultKind::leave: return at(s.from, [this, b, back = s.until] { leave(b, back); });
            case FaultKind::second:
                return at(s.from, [this, b, program = s.fault.program] { succeed(b, program); });
            case FaultKind::reload:
                at(s.from, [this, b, sets = s.fault.sets] { reload(b, sets); });
                if (s.fault.lasts.ns > 0) at(s.until, [this, b] { reload(b, {}); });
                return;
            case FaultKind::clock:
                at(s.from, [this, b, ahead = seconds(s.fault.size)] { seat(b).clock->set(ahead); });
                return at(s.until, [this, b] { seat(b).clock->set(Duration{}); });
            default: return;
        }
    }

    // Injections may overlap: it goes on when the last of them is over.
    void stall(int b) {
        Seat& s = seat(b);
        if (s.stalls++ > 0) return;
        s.stalled_from = fleet_.now();
        fleet_.checker().excuse_held(b);
        for (Child* c : {s.life.get(), s.older.get()})
            if (c) c->signal(SIGSTOP);
        at(fleet_.now() + front_notice, [this, b] {
            if (seat(b).stalls > 0) front(b, false);
        });
    }

    void go_on(int b) {
        Seat& s = seat(b);
        if (s.stalls == 0 || --s.stalls > 0) return;
        fleet_.checker().went_on(s.stalled_from, fleet_.now(), b);
        for (Child* c : {s.life.get(), s.older.get()})
            if (c) c->signal(SIGCONT);
    }

    void kill(int b) {
        Seat& s = seat(b);
        fleet_.on_balancer_killed(b);
        // Not waited for here: a hundred may die at one instant, and the test bed must not run late over it.
        for (std::unique_ptr<Child>* c : {&s.life, &s.older})
            if (*c) (*c)->signal(SIGKILL), s.dying.push_back(std::move(*c));
        s.stalls = 0;
        s.leaving = s.returns = false;
        s.awaited = TimePoint{};
        at(fleet_.now() + front_notice, [this, b] {
            if (!seat(b).life) front(b, false);
        });
    }

    void come_back(int b) {
        Seat& s = seat(b);
        std::erase_if(s.dying, [this](std::unique_ptr<Child>& c) {
            if (!c->crashed()) return false;
            cpu_ += c->cpu_seconds();
            return true;
        });
        if (!s.dying.empty()) return at(fleet_.now() + step, [this, b] { come_back(b); });
        if (!s.life) starts_.push_back(b);  // each takes its milliseconds; the script goes on meanwhile
    }

    void leave(int b, TimePoint back) {
        Seat& s = seat(b);
        if (!s.life || s.leaving) return;
        s.leaving = true;
        s.leave_by = fleet_.now() + leaving_patience;
        s.life->ask_to_leave();
        at(fleet_.now() + front_learns_of_leaving, [this, b] { front(b, false); });
        at(std::max(back, fleet_.now()), [this, b] {
            seat(b).returns = true;
            if (!seat(b).leaving) come_back(b);
        });
    }

    void succeed(int b, const std::string& program) {
        Seat& s = seat(b);
        if (!s.life || s.leaving || s.older) return;
        s.older = std::move(s.life);
        s.awaited = fleet_.now() + handover_patience;
        start(b, program);
    }

    void reload(int b, const std::vector<std::pair<std::string, std::string>>& sets) {
        Seat& s = seat(b);
        s.sets = sets;
        if (!s.life) return;
        s.life->configure(with_settings(fleet_.config(b, s.lives - 1), s.sets));
        s.life->signal(SIGHUP);
    }

    // A process that came back before the front had missed it was never away for that one.
    void front(int b, bool on) {
        seat(b).up = on;
        fleet_.set_front_sends(b, on);
    }

    void look_after(int b) {
        Seat& s = seat(b);
        if (s.older && s.older->crashed()) {
            if (s.older->ended_how() != "exit code 0") note_crash(b, *s.older);
            retire(s.older);
        } else if (s.older && s.awaited.ns == 0 && fleet_.now() > s.leave_by && s.stalls == 0) {
            said_.push_back(fleet_.seat(b).name + " did not leave in time after it had handed over");
            ++crashes_;
            retire(s.older);
        }
        if (!s.life) return;
        if (s.life->crashed()) {
            const bool in_order = s.leaving && s.life->ended_how() == "exit code 0";
            if (in_order) {
                fleet_.checker().started_anew(b);
                fleet_.checker().absent(b, true);
            } else {
                note_crash(b, *s.life);
                fleet_.on_balancer_killed(b);
            }
            retire(s.life);
            s.leaving = false;
            front(b, false);
            if (in_order && std::exchange(s.returns, false)) come_back(b);
            return;
        }
        if (s.leaving) {
            if (fleet_.now() < s.leave_by || s.stalls > 0) return;
            said_.push_back(fleet_.seat(b).name + " did not leave in time");
            ++crashes_;
            return kill(b);
        }
        if (s.stalls > 0) return;
        if (s.awaited.ns > 0) {
            if (takes_clients(s)) {
                s.awaited = TimePoint{};
                s.leave_by = fleet_.now() + leaving_patience;
                if (s.older) s.older->ask_to_leave();
            } else if (fleet_.now() > s.awaited) {
                said_.push_back(fleet_.seat(b).name + ": its successor did not take over in time");
                ++crashes_;
                s.awaited = TimePoint{};
            }
            return;
        }
        if (!s.up && takes_clients(s)) front(b, true);
    }

    void note_crash(int b, const Child& c) {
        ++crashes_;
        said_.push_back(fleet_.seat(b).name + " ended by itself, " + c.ended_how() + ": " +
                        last_lines(c.log(), log_tail));
    }

    const Scenario& w_;
    const FleetRunOptions& play_;
    testbed::ProcessFleet& fleet_;
    std::string folder_, operator_file_;
    std::vector<Seat> seats_;
    std::deque<int> starts_;  // balancers
    std::multimap<TimePoint, std::function<void()>> due_;
    bool has_clocks_ = false, over_ = false;
    TimePoint reaped_;
    double cpu_ = 0;
    int crashes_ = 0;
    std::vector<std::string> said_;
    Duration worst_late_;
};

}  // namespace

Outcome run_process_fleet(const Scenario& w, const std::string& arm, uint64_t seed,
                          const FleetRunOptions& play) {
    const TimePoint began = Clock::now();
    std::signal(SIGPIPE, SIG_IGN);
    if (access(play.program.c_str(), X_OK) != 0)
        throw std::runtime_error("'" + play.program + "' cannot be run");
    if (w.balancers > most_balancers || w.servers > most_servers)
        throw std::runtime_error("a crowd has at most " + std::to_string(most_balancers) + " balancers and " +
                                 std::to_string(most_servers) + " servers");
    const RunFolder folder(play.log_folder);
    testbed::ProcessFleet fleet(w, seed);
    if (play.datagrams) fleet.observe_datagrams(play.datagrams);
    Processes processes(w, play, fleet, folder.path);
    const auto stopped = [&] { return play.stop && play.stop->load(); };
    fleet.open();
    const bool ready = processes.start_all(stopped);
    fleet.begin(Clock::now() + begin_ahead);
    for (int b = 0; b < w.balancers; ++b) fleet.set_front_sends(b, true);
    if (ready) processes.lay_out();
    while (!fleet.is_finished() && !stopped()) {
        processes.turn();
        usleep(static_cast<useconds_t>(step.ns / 1000));
    }
    const bool partial = !fleet.is_finished();
    const double cores_used = to_seconds(fleet.now() - TimePoint{});
    usleep(static_cast<useconds_t>(settling.ns / 1000));
    processes.end_all();
    Outcome out = fleet.end();
    out.arm = arm;
    out.partial = partial;
    out.cpu = processes.cpu_seconds() / std::max(1.0, cores_used) / w.balancers;
    out.ended_by_themselves = processes.crashes();
    for (const std::string& what : processes.said()) out.examples.push_back(what);
    // One that ends by itself loses what it held.
    out.rules[static_cast<size_t>(Rule::request_lost)] += static_cast<uint64_t>(processes.crashes());
    if (out.garbled > 0) {
        out.rules[static_cast<size_t>(Rule::request_lost)] += out.garbled;
        out.examples.push_back(std::to_string(out.garbled) + " lines arrived that nobody had sent");
    }
    if (processes.worst_late() > too_late && out.not_judged.empty())
        out.not_judged = "the lab dealt with processes late by " +
                         std::to_string(processes.worst_late().ns / 1'000'000) + " ms";
    std::ofstream(folder.path + "/timeline.txt") << timeline_of(out.injections);
    out.wall_seconds = to_seconds(Clock::now() - began);
    return out;
}

std::string process_fleet_table(const std::vector<Outcome>& all) {
    std::ostringstream o;
    char line[400];
    const auto spread_row = [&](const std::string& name, const Spread& s, double service) {
        std::snprintf(line, sizeof line,
                      "%-26s %7.4f  %6.3f %6.3f %6.3f %6.2f  %6.2f %6.2f %6.2f  %6.4f  %5.1f %5.1f  %6.0f\n",
                      name.c_str(), service, s.cv, s.dice, s.seeing, s.over_dice(), s.most, s.worst, s.least,
                      s.idle, s.herd, s.herd_dice, s.standing);
        o << line;
    };
    std::snprintf(line, sizeof line, "%-26s %7s  %6s %6s %6s %6s  %6s %6s %6s  %6s  %5s %5s  %6s\n", "run",
                  "service", "cv", "dice", "seeing", "/dice", "most", "worst", "least", "idle", "herd",
                  "dice", "up");
    o << line;
    for (const Outcome& out : all) {
        spread_row(out.arm + ", seed " + std::to_string(out.seed), out.spread, out.service());
        for (const Outcome::Stretch& s : out.stretches) spread_row("  " + s.name, s.spread, s.service);
        const double requests = std::max<double>(1, static_cast<double>(out.requests));
        std::snprintf(line, sizeof line,
                      "  %" PRIu64
                      " calls, %.4f not set up, %.4f moves a call; messages %.2f datagrams, %.1f "
                      "bytes a second and balancer; CPU %.2f ms a second and balancer; rules broken %" PRIu64
                      ", ended by themselves %d%s\n",
                      out.requests, static_cast<double>(out.busy + out.failed) / requests,
                      static_cast<double>(out.moved) / requests, out.datagrams, out.datagram_bytes,
                      out.cpu * 1000, out.rules_broken(), out.ended_by_themselves,
                      out.partial ? ", partial" : "");
        o << line;
        if (out.left_waiting > 0)
            o << "  " << out.left_waiting << " clients left while they waited, " << out.sent_after_left
              << " legs of theirs began over 0.1 s later\n";
        if (out.cold_sent > 0)
            o << "  cold servers were sent " << out.cold_sent << " legs; " << out.cold_overrun
              << " of them more at a time than is put down to chance, the most " << out.cold_most
              << " of that\n";
        if (!out.not_judged.empty()) o << "  not judged: " << out.not_judged << "\n";
        for (const std::string& e : out.examples) o << "  " << e << "\n";
    }
    return o.str();
}

}  // namespace headrouter::experiments
