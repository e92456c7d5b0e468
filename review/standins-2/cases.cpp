/// The cases of the second review: `cases NAME FOLDER TEMPORARY RUN`, from the root of the repository.
/// Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "rig.h"

using namespace rig;

namespace {

/// TROUBLE: 1 with all of the disruption, 0 without any. `part` leaves out the first trouble of discovery and
/// keeps what stands beside it: the restart, the new configuration or the outage.
enum class Trouble { none, part, all };

struct Run {
    std::string folder, temporary, command;
    Trouble trouble = Trouble::all;
};

/// A traffic type: name, setup target and guard time.
struct TrafficType {
    std::string name;
    int target_ms, guard_ms;
};

/// What the pages say of one of their deployments, as far as a balancer is told of it.
struct Deployment {
    std::string discovery;
    int drain_grace_ms, max_legs;
    bool may_probe;
    std::string cold_rule, zones, realms, quotas, tenant;
    std::vector<TrafficType> types;
};

const Deployment north_bengal_swap = {
    .discovery = "ask",
    .drain_grace_ms = 500,
    .max_legs = 3,
    .may_probe = false,
    .cold_rule = R"("coldNs":8700000000,"coldShare":0.3,"fallMultiple":3.0,"fallNs":3000000000)",
    .zones = R"(["siliguri","malda"])",
    .realms = "",
    .quotas = "",
    .tenant = "",
    .types = {{"swap-status", 300, 1800}, {"stock-sync", 800, 4800}, {"id-check", 500, 2000}}};

const Deployment south_bengal_replace = {
    .discovery = "ask",
    .drain_grace_ms = 500,
    .max_legs = 5,
    .may_probe = true,
    .cold_rule = R"("coldNs":23000000000,"coldShare":0.13,"fallMultiple":3.0,"fallNs":2000000000)",
    .zones = R"(["howrah","durgapur","kharagpur","barasat"])",
    .realms = "",
    .quotas = "",
    .tenant = "",
    .types = {{"agent-session", 800, 3200}}};

const Deployment kolkata_setu = {
    .discovery = "push",
    .drain_grace_ms = 3000,
    .max_legs = 4,
    .may_probe = true,
    .cold_rule = R"("coldNs":8700000000,"coldShare":0.31,"fallMultiple":3.0,"fallNs":1000000000)",
    .zones = R"(["salt-lake","new-town"])",
    .realms = R"("realms":[{"name":"gangchil","quotaPerS":3.0,"share":0.41},)"
              R"({"name":"padma-tel","quotaPerS":3.0,"share":0.35},)"
              R"({"name":"sundari","quotaPerS":1.0,"share":0.15},)"
              R"({"name":"teesta","quotaPerS":1.0,"share":0.09}],)",
    .quotas = R"(,"tenantQuotaConnections":[139.0,119.0,51.0,31.0])",
    .tenant = "gangchil",
    .types = {{"status-watch", 800, 3200}, {"kyc-match", 500, 2000}, {"plan-set", 300, 1200}}};

/// Settings in the form of the example on the wire's page, with the figures of the deployment.
std::string settings_of(const Deployment& of) {
    std::string types;
    for (const TrafficType& type : of.types)
        types += (types.empty() ? "" : ",") +
                 (R"({"effect":"pure","guardTimeNs":)" + std::to_string(type.guard_ms)) +
                 R"(000000,"keyScope":"all","name":")" + type.name +
                 R"(","overdueRevenue":0.0,"revenue":2.0,"setupTargetNs":)" + std::to_string(type.target_ms) +
                 R"(000000,"streamed":true,"windowNs":5000000000})";
    return R"({"az":0,"ceilings":{"cancelling":true,"connIdleNs":30000000000,"cpuUsPerRequest":0.0,)"
           R"("cpuUsPerS":750000,"dialTimeoutNs":150000000,"maxLegs":)" +
           std::to_string(of.max_legs) +
           R"(,"maxOpen":1500000,"maxRetryAfterNs":1500000000,"multiplex":1048576,"peers":false,"probing":)" +
           (of.may_probe ? "true" : "false") +
           R"(,"retryAfter":true,"secondCopies":false},)"
           R"("charges":{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.0,"lateFail":0.028,)"
           R"("moves":0.01,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.056},)"
           R"("clientHabits":{"marksRetry":false},"discovery":")" +
           of.discovery +
           R"(","domain":{"groups":true,"mode":"proxy","parkNs":0,"tellsDelay":false,"tellsLoad":false)" +
           of.quotas + R"(},"failureDomains":)" + of.zones +
           R"(,"flavors":["new-box"],"goal":{"whole":0.55,"worstClass":0.3,"worstTenant":0.0,"worstWindow":0.15},)"
           R"("groupSize":2,"invariants":{"answerSlackNs":8000000,"askEveryNs":10000000000,"drainGraceNs":)" +
           std::to_string(of.drain_grace_ms) + "000000," + of.cold_rule + R"(},"layers":["servers"],)" +
           of.realms +
           R"("report":{"fields":[],"how":"silent"},"revenueBasis":"request","serviceType":"conn","slotNo":0,)"
           R"("stepNs":2000000,"surplusRevenue":0.2,"tier":0,"trafficTypes":[)" +
           types + R"(],"weightSource":"silent"})";
}

std::string zone_of(const Deployment& of, int index) {
    std::vector<std::string> names;
    for (size_t begin = of.zones.find('"'); begin != std::string::npos; begin = of.zones.find('"', begin)) {
        const size_t end = of.zones.find('"', begin + 1);
        names.push_back(of.zones.substr(begin + 1, end - begin - 1));
        begin = end + 1;
    }
    return names[static_cast<size_t>(index) % names.size()];
}

/// Clients of the deployment's traffic types in turn.
std::function<ClientPlan()> clients_of(const Deployment& of) {
    auto count = std::make_shared<size_t>(0);
    return [&of, count] {
        const TrafficType& type = of.types[++*count % of.types.size()];
        return ClientPlan{.request_class = type.name, .tenant = of.tenant, .wait_ms = type.guard_ms};
    };
}

/// Servers and their arrivals.
class Fleet {
   public:
    Fleet(int count, const Deployment& deployment, Roster& roster) {
        for (int k = 0; k < count; ++k) {
            const std::string id = "s-" + std::to_string(k);
            servers_.push_back(
                std::make_unique<Server>(id, [this](const Arrival& arrival) { add(arrival); }));
            roster.add(
                {.id = id, .address = servers_.back()->address(), .zone = zone_of(deployment, k), .cell = k});
        }
    }

    Server& operator[](size_t index) { return *servers_[index]; }

    std::vector<Arrival> arrivals() {
        const std::scoped_lock lock(mutex_);
        return arrivals_;
    }

   private:
    void add(const Arrival& arrival) {
        char when[32];
        std::snprintf(when, sizeof when, "%.3f", arrival.first_byte);
        record().add("server " + arrival.server + " got " + arrival.wire_id + ", first byte at " + when +
                     (arrival.ran ? ", ran it" : ", turned it away"));
        const std::scoped_lock lock(mutex_);
        arrivals_.push_back(arrival);
    }

    std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    std::vector<std::unique_ptr<Server>> servers_;
};

/// The servers that begin to drain: half of the fleet.
const std::vector<std::string> drained = {"s-1", "s-3", "s-4"};

/// The rule's grace, the 50 ms that each limit is longer on sockets, and the 0.15 s for which a balancer may
/// be held up.
double time_allowed(const Deployment& deployment) { return deployment.drain_grace_ms / 1000.0 + 0.05 + 0.15; }

int judge_drain(Fleet& fleet, double told, const Deployment& deployment) {
    const double limit = told + time_allowed(deployment);
    int late = 0;
    double latest = 0;
    for (const Arrival& arrival : fleet.arrivals()) {
        const bool is_drained = std::find(drained.begin(), drained.end(), arrival.server) != drained.end();
        if (!is_drained || arrival.first_byte <= limit) continue;
        ++late;
        latest = std::max(latest, arrival.first_byte);
    }
    char text[200];
    std::snprintf(
        text, sizeof text,
        "result: the drains count as told at %.3f, new work may come until %.3f, came later %d times", told,
        limit, late);
    record().add(text + (late > 0 ? ", the last at " + std::to_string(latest) : ""));
    return late > 0 ? 1 : 0;
}

/// Six servers, discovery at two addresses and two balancers. Never destroyed, as the threads of connections
/// use it until the process ends.
struct World {
    World(const Run& run, const Deployment& deployment)
        : fleet(6, deployment, roster),
          first("n1", run.temporary, run.command),
          second("n2", run.temporary, run.command) {}

    Roster roster;
    Fleet fleet;
    Discovery discovery{roster}, other_discovery{roster};
    Balancer first, second;
    std::atomic<bool> first_is_up = false;

    /// Starts both balancers; the second asks at `second_discovery`.
    bool start(const std::string& settings, const Discovery& second_discovery) {
        first.start({settings, roster.whole_list(), discovery.address()});
        second.start({settings, roster.whole_list(), second_discovery.address()});
        if (!first.wait_until_ready(now() + 20) || !second.wait_until_ready(now() + 20)) return false;
        first_is_up = true;
        return true;
    }

    void reload(const std::string& settings, const Discovery& from) {
        for (Balancer* balancer : {&first, &second}) {
            balancer->write_configuration({settings, roster.whole_list(), from.address()});
            balancer->signal(SIGHUP);
        }
    }

    void kill_first() {
        first_is_up = false;
        first.signal(SIGKILL);
        first.wait_for_end(now() + 1);
    }

    /// From now on they turn new work away, as the pages have it of a draining server.
    void drain() {
        for (const std::string& id : drained) {
            roster.set_lifecycle(id, "DRAINING");
            fleet[static_cast<size_t>(id.back() - '0')].manner = Manner::turn_away;
        }
    }

    std::vector<std::string> targets() const {
        std::vector<std::string> addresses = {second.address()};
        if (first_is_up) addresses.push_back(first.address());
        return addresses;
    }
};

bool has_served(Traffic& traffic) {
    std::string text = "answers:";
    for (const auto& [answer, count] : traffic.answers()) text += " " + answer + "=" + std::to_string(count);
    record().add(text);
    return traffic.answers()["UP"] > 0;
}

/// A balancer is killed and comes back with its last list, while discovery turns new callers away.
int restart_turned_away(const Run& run) {
    const Deployment& deployment = south_bengal_replace;
    World& world = *new World(run, deployment);
    const std::string settings = settings_of(deployment);
    const std::string last_list = world.roster.whole_list();
    if (!world.start(settings, world.discovery)) return 2;
    Traffic traffic(
        24, [&] { return world.targets(); }, clients_of(deployment));
    const double begin = now();

    sleep_until(begin + 3);
    if (run.trouble != Trouble::none) world.kill_first();
    sleep_until(begin + 3.3);
    world.drain();
    const double drained = now();
    sleep_until(begin + 9.9);
    if (run.trouble == Trouble::all) world.discovery.turn_new_callers_away();
    double told = drained + 6;
    if (run.trouble != Trouble::none) {
        sleep_until(begin + 10);
        world.first.start({settings, last_list, world.discovery.address()});
        told = std::max(told, now());
        if (!world.first.wait_until_ready(now() + 10)) return 2;
        world.first_is_up = true;
    }
    sleep_until(begin + 17.8);
    world.discovery.serve_all();
    sleep_until(begin + 20);
    traffic.stop();
    if (!has_served(traffic)) return 2;
    return judge_drain(world.fleet, told, deployment);
}

/// A new configuration moves discovery to an address that is slow.
int reload_to_slow(const Run& run) {
    const Deployment& deployment = north_bengal_swap;
    World& world = *new World(run, deployment);
    const std::string settings = settings_of(deployment);
    if (!world.start(settings, world.discovery)) return 2;
    Traffic traffic(
        24, [&] { return world.targets(); }, clients_of(deployment));
    const double begin = now();

    sleep_until(begin + 3);
    if (run.trouble == Trouble::all) world.other_discovery.queue_time = 2.8;
    if (run.trouble != Trouble::none) {
        world.reload(settings, world.other_discovery);
        world.discovery.retire(now() + 1.5);
    }
    const double reloaded = now();
    sleep_until(begin + 6);
    world.drain();
    const double told = std::max(reloaded + 4, now() + 6);
    sleep_until(begin + 25);
    traffic.stop();
    if (!has_served(traffic) || !world.first.is_running() || !world.second.is_running()) return 2;
    return judge_drain(world.fleet, told, deployment);
}

/// A new configuration moves discovery to an address that turns callers away for some seconds.
int reload_turned_away(const Run& run) {
    const Deployment& deployment = north_bengal_swap;
    World& world = *new World(run, deployment);
    const std::string settings = settings_of(deployment);
    if (!world.start(settings, world.discovery)) return 2;
    Traffic traffic(
        24, [&] { return world.targets(); }, clients_of(deployment));
    const double begin = now();

    sleep_until(begin + 3);
    if (run.trouble == Trouble::all) world.other_discovery.turn_new_callers_away();
    if (run.trouble != Trouble::none) {
        world.reload(settings, world.other_discovery);
        world.discovery.retire(now() + 1.5);
    }
    const double reloaded = now();
    sleep_until(reloaded + 1.7);
    world.drain();
    sleep_until(reloaded + 7.9);
    world.other_discovery.serve_all();
    sleep_until(reloaded + 12);
    traffic.stop();
    if (!has_served(traffic)) return 2;
    return judge_drain(world.fleet, reloaded + 4, deployment);
}

/// Discovery breaks the first balancer's watch and turns it away; some seconds later it is down.
int turned_away_then_down(const Run& run) {
    const Deployment& deployment = south_bengal_replace;
    World& world = *new World(run, deployment);
    const std::string settings = settings_of(deployment);
    if (!world.start(settings, world.other_discovery)) return 2;
    Traffic traffic(
        24, [&] { return world.targets(); }, clients_of(deployment));
    const double begin = now();

    sleep_until(begin + 3);
    if (run.trouble == Trouble::all) {
        world.discovery.turn_new_callers_away();
        world.discovery.break_connections();
    }
    sleep_until(begin + 3.5);
    world.drain();
    const double told = now() + 6;
    sleep_until(begin + 6);
    if (run.trouble != Trouble::none) {
        world.discovery.go_down();
        world.other_discovery.go_down();
    }
    sleep_until(begin + 26);
    if (run.trouble != Trouble::none) {
        world.discovery.serve_all();
        world.discovery.come_back();
        world.other_discovery.come_back();
    }
    sleep_until(begin + 30);
    traffic.stop();
    if (!has_served(traffic)) return 2;
    return judge_drain(world.fleet, told, deployment);
}

/// A balancer is killed and comes back with its last list, while discovery is down and its agent is silent.
int restart_in_outage(const Run& run) {
    const Deployment& deployment = kolkata_setu;
    World& world = *new World(run, deployment);
    const std::string settings = settings_of(deployment);
    const std::string last_list = world.roster.whole_list();
    if (!world.start(settings, world.other_discovery)) return 2;
    Traffic traffic(
        24, [&] { return world.targets(); }, clients_of(deployment));
    const double begin = now();

    sleep_until(begin + 3);
    if (run.trouble != Trouble::none) world.kill_first();
    sleep_until(begin + 3.5);
    world.drain();
    double told = now();
    sleep_until(begin + 4);
    if (run.trouble == Trouble::all) {
        record().add("discovery is down: its agents are silent from now on");
        world.discovery.is_silent = world.other_discovery.is_silent = true;
    }
    const double silent_since = now();
    if (run.trouble != Trouble::none) {
        sleep_until(begin + 4.9);
        world.first.start({settings, last_list, world.discovery.address()});
        told = std::max(told, now());
        if (!world.first.wait_until_ready(now() + 10)) return 2;
        world.first_is_up = true;
    }
    sleep_until(silent_since + 7.9);
    world.discovery.is_silent = world.other_discovery.is_silent = false;
    record().add("the agents answer new calls");
    sleep_until(silent_since + 10);
    traffic.stop();
    if (!has_served(traffic)) return 2;
    return judge_drain(world.fleet, told, deployment);
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 5) return 2;
    signal(SIGPIPE, SIG_IGN);
    Run run{.folder = argv[2], .temporary = argv[3], .command = argv[4]};
    const char* const trouble = std::getenv("TROUBLE");
    const std::string wanted = trouble ? trouble : "1";
    run.trouble = wanted == "0" ? Trouble::none : wanted == "part" ? Trouble::part : Trouble::all;
    open_record(run.folder + "/record.txt");
    record().add("TROUBLE=" + wanted);
    const std::map<std::string, int (*)(const Run&)> cases = {
        {"restart-turned-away", restart_turned_away},     {"reload-to-slow", reload_to_slow},
        {"reload-turned-away", reload_turned_away},       {"restart-in-outage", restart_in_outage},
        {"turned-away-then-down", turned_away_then_down},
    };
    const auto found = cases.find(argv[1]);
    if (found == cases.end()) return 2;
    int result = 2;
    std::thread([&] {
        sleep_until(110);
        record().add("the case took too long");
        end_balancers();
        _exit(2);
    }).detach();
    result = found->second(run);
    end_balancers();
    record().add("exit " + std::to_string(result));
    _exit(result);
}
