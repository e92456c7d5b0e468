// Runs the test bed with real balancers in the test's own event loop; they must keep every rule in each
// incident.
#include <sys/resource.h>
#include <sys/wait.h>

#include <filesystem>
#include <iostream>
#include <map>
#include <sstream>

#include "capture/replay.h"
#include "lab_testbed/fake_clients.h"
#include "proxy/balancer.h"

using namespace headrouter::testbed;
using namespace headrouter::scenario;

struct Played {
    Outcome out;
    uint64_t garbled = 0;
};

struct Real {
    struct Process {
        headrouter::Clock clock;
        BootstrapConfig boot;
        std::unique_ptr<Balancer> balancer;
    };
    Loop& loop;
    headrouter::testbed::TestBed& bed;
    std::ostringstream log_output;
    Log log{log_output, LogLevel::warning};
    capture::RecorderConfig keeping{};
    std::map<int, Process> processes{};
    void start(int b) {
        Process& process = processes[b];
        process.boot = parse_bootstrap_config(bed.fresh_config(b), process.clock);
        process.balancer = std::make_unique<Balancer>(loop.loop, process.boot, process.clock, log);
        if (!keeping.folder.empty()) process.balancer->start_recording(keeping);
        process.balancer->start();
    }
    void kill(int b) { processes[b].balancer.reset(); }
};

static Played play_real(const Scenario& w, std::map<std::string, uint64_t>* counted = nullptr,
                        const capture::RecorderConfig& keeping = {}) {
    Loop loop;
    Played p;
    headrouter::testbed::TestBed bed(loop.loop, w, 3, p.out);
    Real real{loop, bed, {}, Log{std::cerr, LogLevel::error}, keeping, {}};
    for (int b = 0; b < w.balancers; ++b) real.start(b);
    for (int b = 0; b < w.balancers; ++b) EXPECT_TRUE(loop.until([&] { return bed.ready(b); }));
    bed.begin({[&](int b) { real.start(b); }, [&](int b) { real.kill(b); }});
    EXPECT_TRUE(loop.until([&] { return bed.finished(); }));
    loop.turn(millis(150));
    bed.finish();
    p.garbled = bed.clients().garbled_lines();
    if (counted)
        for (auto& [b, process] : real.processes)
            (*counted)["broken_invariants"] += process.balancer->counters()[Counter::broken_invariants];
    for (const std::string& e : p.out.examples) std::cerr << e << "\n";
    return p;
}

static Scenario real_world() {
    Scenario w = small_world(4);
    w.balancers = 2;
    w.length = seconds(4);
    w.judged_from = seconds(1);
    w.add_notice = millis(200), w.gone_notice = millis(300), w.silent_notice = millis(1500);
    w.kinds[0].cores = 2;
    w.traffic.ramp = seconds(0.8);
    RequestClassSpec& t = w.traffic.types[0];
    t.message_every = millis(200);
    t.hold = seconds(5);
    t.load = 25;
    return w;
}

TEST(TestBed, RealBalancersKeepRulesWithoutIncidents) {
    std::map<std::string, uint64_t> counted;
    const Played p = play_real(real_world(), &counted);
    EXPECT_EQ(p.out.rules_broken(), 0);
    EXPECT_EQ(p.garbled, 0);
    EXPECT_GT(p.out.up, 50);
    EXPECT_EQ(counted["broken_invariants"], 0);
}

TEST(TestBed, RealBalancersKeepRulesInEachIncident) {
    for (const IncidentKind kind : {IncidentKind::crash, IncidentKind::vanish, IncidentKind::hang,
                                    IncidentKind::errors, IncidentKind::deploy, IncidentKind::reconnect,
                                    IncidentKind::list_garbled, IncidentKind::balancer_crash}) {
        Scenario w = real_world();
        w.traffic.types[0].idempotency =
            kind == IncidentKind::errors ? Idempotency::non_idempotent : Idempotency::idempotent;
        w.incidents.push_back({kind, TimePoint{} + seconds(1.2), seconds(1.4), 0.25, 0.7});
        const Played p = play_real(w);
        if (p.out.rules_broken() > 0) std::cerr << word(kind) << "\n";
        EXPECT_EQ(p.out.rules_broken(), 0);
        EXPECT_EQ(p.garbled, 0);
        EXPECT_GT(p.out.up, 50);
    }
}

TEST(TestBed, CaptureOfRealBalancersInIncidentsReplaysTheSame) {
    capture::RecorderConfig keeping;
    keeping.folder = (std::filesystem::temp_directory_path() / ("rig-" + std::to_string(getpid()))).string();
    std::filesystem::create_directories(keeping.folder);
    Scenario w = real_world();
    w.incidents.push_back({IncidentKind::crash, TimePoint{} + seconds(1.2), seconds(1), 0.5, 1});
    w.incidents.push_back({IncidentKind::burst, TimePoint{} + seconds(2.4), seconds(1), 1, 4});
    EXPECT_EQ(play_real(w, nullptr, keeping).out.rules_broken(), 0);
    const std::vector<std::string> paths = capture::segments_at(keeping.folder);
    for (const std::string& path : paths) {
        const capture::ReplayResult v = capture::replay({path});
        if (!v.reason.empty()) std::cerr << v.reason << "\n";
        EXPECT_EQ(v.outcome, capture::ReplayResult::Outcome::same);
        EXPECT_GT(v.events, 100);
    }
    EXPECT_EQ(paths.size(), 2u);
    std::filesystem::remove_all(keeping.folder);
}

TEST(TestBed, LabThatRanLateReportsThatInsteadOfJudging) {
    Loop loop;
    Outcome out;
    const Scenario w = real_world();
    headrouter::testbed::TestBed bed(loop.loop, w, 3, out);
    bed.timers().at(bed.timers().now(), [] { usleep(700'000); });
    bed.timers().in(millis(10), [] {});
    bool later = false;
    bed.timers().in(millis(20), [&] { later = true; });
    EXPECT_TRUE(loop.until([&] { return later; }));
    EXPECT_NE(bed.not_judged().find("ran late"), std::string::npos);
}

// Runs in a child process, because the lowered limit cannot be raised again.
TEST(TestBed, LabOutOfDescriptorsReportsThatInsteadOfBlamingBalancer) {
    const pid_t child = fork();
    if (child == 0) {
        const rlimit few{60, 60};
        setrlimit(RLIMIT_NOFILE, &few);
        Loop loop;
        Outcome out;
        const Scenario w = real_world();
        headrouter::testbed::TestBed bed(loop.loop, w, 3, out);
        bed.begin({[](int) {}, [](int) {}});
        std::vector<Fd> all;  // uses up all descriptors, as a test bed that is too large does
        for (Fd fd = connect_to(*Address::from(bed.place(0))); fd;
             fd = connect_to(*Address::from(bed.place(0))))
            all.push_back(std::move(fd));
        const bool reported =
            loop.until([&] { return bed.not_judged() == "the lab ran out of descriptors"; });
        _exit(reported ? 0 : 1);
    }
    int status = 0;
    waitpid(child, &status, 0);
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}
