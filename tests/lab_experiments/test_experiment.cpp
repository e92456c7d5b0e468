#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "config/toml_fields.h"
#include "experiments/experiment.h"
#include "experiments/runner.h"
#include "policy_helpers.h"

using namespace headrouter::experiments;
using namespace headrouter::scenario;

static std::string fault(const std::string& text) {
    try {
        read_experiment(text, "e.toml");
        return "";
    } catch (const ParseError& e) {
        return e.what();
    }
}

TEST(Experiment, AWorldIsReadWithItsUnits) {
    const Scenario w = read_world(R"(
length = "40s"
[fleet]
servers = 5
[[fleet.kind]]
cores = 2
[[traffic.type]]
name = "watch"
effect = "referenced"
scope = "zone"
guard_time = "3s"
load = 12.5
[[trouble]]
kind = "slow"
at = "10s"
lasts = "5s"
size = 0.25
)");
    EXPECT_EQ(w.length, seconds(40));
    EXPECT_EQ(w.servers, 5);
    EXPECT_EQ(w.kinds.size(), 1u);
    EXPECT_EQ(w.kinds[0].cores, 2);
    const RequestClassSpec& t = w.traffic.types.at(0);
    EXPECT_EQ(t.idempotency, Idempotency::keyed);
    EXPECT_EQ(t.dedup_scope, DedupScope::zone);
    EXPECT_EQ(t.deadline, seconds(3));
    EXPECT_EQ(t.load, 12.5);
    EXPECT_EQ(w.incidents.at(0).kind, IncidentKind::slow);
    EXPECT_EQ(w.incidents[0].size, 0.25);
    EXPECT_EQ(w.incidents[0].at, TimePoint{} + seconds(10));
}

TEST(Experiment, AWrongOneSaysFileLineAndWhatWasExpected) {
    EXPECT_EQ(fault("[fleet]\nservers = 0"),
              "e.toml:2: fleet.servers: expected a whole number from 1 to 4000");
    EXPECT_EQ(
        fault("[fleet]\nsevers = 3").find("e.toml:2: fleet.severs: no such key; expected one of balancers"),
        0);
    EXPECT_EQ(fault("\nlength = 60").find("e.toml:2: length: expected a duration"), 0);
    EXPECT_EQ(fault("[[trouble]]\nkind = \"flood\"")
                  .find("e.toml:2: trouble[1].kind: expected one of crash, vanish"),
              0);
    EXPECT_EQ(fault("[[trouble]]\nat = \"1s\"").find("e.toml:1: trouble[1].kind: expected a kind of trouble"),
              0);
    EXPECT_EQ(
        fault("length = \"5s\"\n[[trouble]]\nkind = \"hang\"\nat = \"9s\"").find("e.toml:4: trouble[1].at"),
        0);
    EXPECT_NE(fault("[[traffic.type]]\nsetup_target = \"3s\"\nguard_time = \"2s\"")
                  .find("no longer than guard_time"),
              std::string::npos);
    EXPECT_EQ(fault("[[arm]]\n[[arm]]").find("e.toml:2: arm[2].name: expected a name that no other arm has"),
              0);
    EXPECT_NE(fault("[sweep]\nkey = \"traffic.use\"\nvalues = [9]")
                  .find("traffic.use: expected a number from 0.001 to 5"),
              std::string::npos);
    EXPECT_NE(fault("[sweep]\nkey = \"traffic.us\"\nvalues = [1]").find("traffic.us: no such key"),
              std::string::npos);
    EXPECT_NE(fault("[fleet]\nservers = 4000\n[traffic]\nuse = 5\n[[traffic.type]]\nload = 0.001")
                  .find("4 million"),
              std::string::npos);
}

TEST(Experiment, ArmsAndSweepsHaveWorldsOfTheirOwn) {
    const Experiment e = read_experiment(R"(
seeds = 3
[[arm]]
name = "plain"
[[arm]]
name = "quiet"
set = { "fleet.tells_load" = false, "fleet.kind[1].cores" = 8 }
[[fleet.kind]]
cores = 2
[sweep]
key = "traffic.use"
values = [0.2, 1]
)",
                                         "e.toml");
    EXPECT_EQ(e.seeds.size(), 3u);
    EXPECT_EQ(e.points.size(), 2u);
    EXPECT_EQ(e.points[1].arms.size(), 2u);
    EXPECT_EQ(e.points[0].arms[0].world.traffic.use, 0.2);
    EXPECT_EQ(e.points[1].arms[1].world.traffic.use, 1);
    EXPECT_TRUE(e.points[0].arms[0].world.tells_load);
    EXPECT_FALSE(e.points[0].arms[1].world.tells_load);
    EXPECT_EQ(e.points[0].arms[0].world.kinds[0].cores, 2);
    EXPECT_EQ(e.points[0].arms[1].world.kinds[0].cores, 8);
}

TEST(Experiment, RunsComeInTheirOrderAtAnyNumberOfThreads) {
    const Experiment e = read_experiment(
        "seeds = 3\nlength = \"8s\"\njudged_from = \"2s\"\n[fleet]\nservers = 3\n[[arm]]\n[[arm]]\npolicy = "
        "\"random\"\n",
        "e.toml");
    std::vector<uint64_t> digests;
    for (const int threads : {1, 4}) {
        Playing how;
        how.threads = threads;
        std::vector<uint64_t> own;
        how.done = [&](const Outcome& o) { own.push_back(o.digest); };
        const auto all = play(e, how);
        EXPECT_EQ(all.size(), 6u);
        EXPECT_EQ(all[0].arm, "brain");
        EXPECT_EQ(all[5].arm, "random");
        EXPECT_EQ(all[5].seed, 3);
        EXPECT_TRUE(digests.empty() || digests == own);
        digests = own;
        EXPECT_NE(table_of(e, all).find("random"), std::string::npos);
    }
}

TEST(Experiment, AStopLeavesWhatWasDoneAndSaysSo) {
    const Experiment e = read_experiment("seeds = 2\n[fleet]\nservers = 3", "e.toml");
    std::atomic<bool> stop{true};
    Playing how;
    how.stop = &stop;
    EXPECT_TRUE(play(e, how).empty());
}

// ---- the program ----

static int lab_ends_with(const std::string& words) {
    return WEXITSTATUS(std::system((std::string(LAB) + " " + words + " > /dev/null 2>&1").c_str()));
}

TEST(Experiment, TheProgramEndsWith2OnWhatIsWrongAndRunsNothing) {
    const auto folder = std::filesystem::temp_directory_path() / ("lab-test-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const std::string file = folder / "e.toml", out = folder / "out.jsonl";
    std::ofstream(file) << "length = \"8s\"\n[fleet]\nservers = 3\nbalancer = 2\n";
    EXPECT_EQ(lab_ends_with("run " + file + " --out " + out), 2);
    EXPECT_FALSE(std::filesystem::exists(out));
    EXPECT_EQ(lab_ends_with("run " + (folder / "none.toml").string()), 2);
    std::ofstream(file)
        << "length = \"8s\"\njudged_from = \"2s\"\n[fleet]\nservers = 3\n[[arm]]\npolicy = \"random\"\n";
    EXPECT_EQ(lab_ends_with("run " + file + " --out " + out), 0);
    EXPECT_GT(std::filesystem::file_size(out), 100);
    EXPECT_EQ(lab_ends_with("run " + file + " --on sockets"),
              2);  // the program itself plays there, not a baseline
    EXPECT_EQ(lab_ends_with("report " + out + " -o " + (folder / "r.html").string()), 0);
    const std::string taken = folder / "taken";
    std::filesystem::create_directories(taken);
    std::ofstream(file) << "length = \"8s\"\njudged_from = \"2s\"\n[fleet]\nservers = 3\n";
    EXPECT_EQ(lab_ends_with("run " + file + " --record " + taken), 0);
    const std::string first = std::filesystem::directory_iterator(taken)->path();
    EXPECT_EQ(lab_ends_with("run " + file + " --capture " + first), 0);
    EXPECT_EQ(lab_ends_with("run " + file + " --capture " + taken), 2);  // two balancers' at once
    EXPECT_NE(lab_ends_with("measure nothing"), 0);
    std::filesystem::remove_all(folder);
}

TEST(Experiment, TheExperimentsInDeployCanBeRead) {
    int files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(EXAMPLES)) {
        read_experiment(file_text(entry.path()), entry.path());
        ++files;
    }
    EXPECT_GT(files, 0);
}
