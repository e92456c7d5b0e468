#include "experiments/experiment.h"

#include <sstream>

#include "config/toml_fields.h"

namespace headrouter::experiments {
using namespace scenario;

namespace {

constexpr Duration no_time{}, long_time = seconds(3600);
constexpr int most_servers = 4000, most_balancers = 2000, most_seeds = 1000;
constexpr double most_connections = 4e6;

void read_kind(Fields f, ServerKind& k) {
    f.text("name", k.name);
    f.number("share", k.share, 0.001, 1000);
    f.number("cores", k.cores, 0.001, 1024);
    f.number("speed", k.speed, 0.001, 100);
    f.number("weight", k.weight, 0, 1e6);
    f.number("cold_from", k.cold_from, 0.01, 1);
    f.span("cold_time", k.slow_start_time, no_time, long_time);
    f.whole("most_connections", k.most_connections, 0, 10'000'000);
    f.number("error_rate", k.error_rate, 0, 1);
    f.finish();
}

void read_fleet(Fields f, Scenario& w) {
    f.whole("servers", w.servers, 1, most_servers);
    f.whole("balancers", w.balancers, 1, most_balancers);
    f.whole("zones", w.zones, 1, 100);
    f.whole("cells", w.cells, 1, 1000);
    f.span("setup_work", w.setup_work, no_time, seconds(10));
    f.span("client_latency", w.client_latency, millis(0.1), seconds(1));
    f.span("server_latency", w.server_latency, millis(0.1), seconds(1));
    f.span("connect_time", w.connect_time, millis(10), seconds(60));
    f.flag("tells_load", w.tells_load);
    f.flag("tells_delay", w.tells_delay);
    f.flag("messages", w.messages);
    f.flag("tells_size", w.tells_size);
    f.flag("by_number", w.by_number);
    f.flag("pooled", w.pooled);
    f.span("peer_latency", w.peer_latency, millis(0.1), seconds(10));
    f.number("skew", w.skew, 1, 1000);
    f.number("quiet", w.quiet, 0, 0.99);
    const auto kinds = f.tables("kind");
    if (!kinds.empty()) w.kinds.clear();
    for (const Fields& k : kinds) read_kind(k, w.kinds.emplace_back());
    f.finish();
}

void read_type(Fields f, RequestClassSpec& t) {
    f.text("name", t.name);
    f.number("share", t.share, 0.001, 1000);
    f.number("revenue", t.revenue, 0.001, 1e6);
    f.one_of<Idempotency>("effect", t.idempotency,
                          {{"repeatable", Idempotency::idempotent},
                           {"referenced", Idempotency::keyed},
                           {"once-only", Idempotency::non_idempotent}});
    f.one_of<DedupScope>("scope", t.dedup_scope,
                         {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
    f.span("setup_target", t.setup_objective, millis(1), seconds(60));
    f.span("guard_time", t.deadline, millis(50), seconds(60));
    f.span("window", t.dedup_window, no_time, long_time);
    f.span("message_target", t.message_objective, millis(1), seconds(60));
    f.span("message_every", t.message_every, millis(10), seconds(600));
    f.number("load", t.load, 0.001, 1e6);
    f.span("hold", t.hold, millis(100), long_time);
    if (t.setup_objective > t.deadline) f.wrong("setup_target", "a span no longer than guard_time");
    f.finish();
}

void read_traffic(Fields f, Traffic& t) {
    f.number("use", t.use, 0.001, 5);
    f.number("load_spread", t.load_spread, 0, 1);
    f.whole("groups", t.groups, 0, 1'000'000);
    f.number("group_load", t.group_load, 0, 1e6);
    f.whole("tenants", t.tenants, 1, 100'000);
    f.span("ramp", t.ramp, millis(100), long_time);
    f.whole("retries", t.retries, 0, 1000);
    f.span("back_off", t.back_off, millis(1), seconds(600));
    f.span("return_after", t.return_after, millis(1), seconds(600));
    const auto types = f.tables("type");
    if (!types.empty()) t.types.clear();
    for (const Fields& row : types) read_type(row, t.types.emplace_back());
    f.finish();
}

void read_list(Fields f, Scenario& w) {
    f.span("add_notice", w.add_notice, no_time, long_time);
    f.span("gone_notice", w.gone_notice, no_time, long_time);
    f.span("silent_notice", w.silent_notice, no_time, long_time);
    f.number("spread", w.notice_spread, 0, 10);
    f.finish();
}

void read_rules(Fields f, Scenario& w) {
    f.whole("max_legs", w.max_attempts, 1, 100);
    f.flag("advises", w.advises_retry_after);
    f.span("max_advice", w.max_retry_after, no_time, seconds(600));
    f.number("cross_price", w.cross_zone_cost, 0, 1);
    f.span("drain_grace", w.drain_grace, no_time, seconds(600));
    f.number("fall_multiple", w.overload_multiple, 1, 1000);
    f.span("fall_time", w.overload_window, millis(10), seconds(600));
    f.number("quota", w.quota, 0, 10);
    f.finish();
}

void read_incident(Fields f, const Scenario& w, Incident& t) {
    std::vector<NamedValue<IncidentKind>> words;
    for (const std::string& name : incident_words()) {
        words.push_back({name, IncidentKind{}});
        incident_from(name, words.back().value);
    }
    if (!f.has("kind")) f.wrong("kind", "a kind of trouble");
    f.one_of<IncidentKind>("kind", t.kind, words);
    Duration at;
    f.span("at", at, no_time, w.length);
    t.at = TimePoint{} + at;
    f.span("lasts", t.lasts, no_time, long_time);
    f.number("part", t.part, 0.0001, 1);
    const bool is_rate = t.kind == IncidentKind::errors, is_speed = t.kind == IncidentKind::slow;
    t.size = is_rate || is_speed ? 0.5 : 3;
    f.number("size", t.size, is_speed ? 0.001 : 0, is_rate || is_speed ? 1 : 1000);
    f.finish();
}

// A TOML value of a reload's settings as JSON; the platform's settings hold no others.
std::string as_json(const toml::node& value) {
    std::ostringstream o;
    if (const auto* text = value.as_string()) o << '"' << text->get() << '"';
    if (const auto* whole = value.as_integer()) o << whole->get();
    if (const auto* real = value.as_floating_point()) o << real->get();
    if (const auto* flag = value.as_boolean()) o << (flag->get() ? "true" : "false");
    return o.str();
}

void read_fault(Fields f, const Scenario& w, Fault& fault) {
    if (!f.has("kind")) f.wrong("kind", "a kind of fault");
    std::vector<NamedValue<FaultKind>> kinds;
    for (const auto& [name, kind] : fault_words()) kinds.push_back({name, kind});
    f.one_of<FaultKind>("kind", fault.kind, kinds);
    Duration at;
    f.span("at", at, no_time, w.length);
    fault.at = TimePoint{} + at;
    f.span("lasts", fault.lasts, no_time, long_time);
    f.number("part", fault.part, 0.0001, 1);
    f.number("servers", fault.servers, 0.0001, 1);
    for (const double number : f.numbers("numbers", 0, w.balancers - 1))
        fault.numbers.push_back(static_cast<int>(number));
    const bool is_share = fault.kind == FaultKind::drop || fault.kind == FaultKind::repeat ||
                          fault.kind == FaultKind::reorder || fault.kind == FaultKind::spoil;
    const bool is_clock = fault.kind == FaultKind::clock;
    if (fault.kind == FaultKind::alone) fault.size = 2;
    f.number("size", fault.size, is_clock ? -1e6 : 0, is_share ? 1 : 1e6);
    f.span("span", fault.span, no_time, long_time);
    f.span("spread", fault.spread, no_time, long_time);
    f.one_of<Way>("way", fault.way, {{"both", Way::both}, {"out", Way::out}, {"in", Way::in}});
    f.text("program", fault.program);
    for (const Fields& s : f.table("set"))
        for (const auto& [key, node] : s.all()) {
            const std::string json = as_json(node);
            if (json.empty()) s.wrong(std::string(key.str()), "a text, a number or a flag");
            fault.sets.emplace_back(std::string(key.str()), json);
        }
    if (is_of_datagrams(fault.kind) && !w.messages)
        f.wrong("kind", "one that is not of messages, as [fleet] has none");
    f.finish();
}

Scenario world_from(Fields& f, const std::string& file) {
    Scenario w;
    f.span("length", w.length, seconds(1), seconds(24 * 3600));
    f.span("judged_from", w.judged_from, no_time, w.length);
    if (w.judged_from >= w.length) w.judged_from = w.length * 0.2;
    for (const Fields& t : f.table("fleet")) read_fleet(t, w);
    for (const Fields& t : f.table("traffic")) read_traffic(t, w.traffic);
    for (const Fields& t : f.table("list")) read_list(t, w);
    for (const Fields& t : f.table("rules")) read_rules(t, w);
    for (const Fields& t : f.tables("trouble")) read_incident(t, w, w.incidents.emplace_back());
    for (const Fields& t : f.tables("fault")) read_fault(t, w, w.faults.emplace_back());
    if (double standing = 0; f.has("standing")) {  // connections a balancer, in place of traffic.use
        f.number("standing", standing, 0.001, 1e5);
        double load = 0, hold = 0;
        for (const RequestClassSpec& t : w.traffic.types)
            load += t.share * t.load * 1000 * to_seconds(t.hold), hold += t.share * to_seconds(t.hold);
        w.traffic.use = standing * w.balancers * load / (capacity_of(w) * hold);
    }
    double least_load = 1e9;
    for (const RequestClassSpec& t : w.traffic.types) least_load = std::min(least_load, t.load);
    const double standing = w.traffic.use * capacity_of(w) / (least_load * 1000);
    if (standing > most_connections)
        throw ParseError(
            file + ": traffic.use: expected what comes to at most 4 million connections; this comes to " +
            std::to_string(static_cast<int64_t>(standing)));
    return w;
}

// Sets "traffic.use" or "fleet.kind[1].cores" in a copy of the file's table.
void set_in(toml::table& root, const std::string& path, const toml::node& value, const std::string& blame) {
    toml::table* at = &root;
    size_t from = 0;
    while (true) {
        const size_t dot = path.find('.', from);
        std::string key = path.substr(from, dot == std::string::npos ? dot : dot - from);
        size_t index = 0;
        if (const size_t bracket = key.find('['); bracket != std::string::npos) {
            index = static_cast<size_t>(std::atoi(key.c_str() + bracket + 1));
            key.resize(bracket);
        }
        if (dot == std::string::npos) return void(at->insert_or_assign(key, value));
        if (!at->contains(key) && index == 0) at->insert(key, toml::table{});
        toml::node* next = at->get(key);
        if (next && next->is_array() && index >= 1 && index <= next->as_array()->size())
            next = next->as_array()->get(index - 1);
        if (!next || !next->is_table())
            throw ParseError(blame + ": expected the path of a key; '" + path + "' is none");
        at = next->as_table();
        from = dot + 1;
    }
}

struct ArmWords {
    simulation::Arm placing;
    const toml::table* sets = nullptr;
    std::string blame;
};

std::vector<ArmWords> read_arms(Fields& root, const std::string& file) {
    std::vector<NamedValue<simulation::PolicyKind>> words;
    for (int k = 0; k <= static_cast<int>(simulation::PolicyKind::rendezvous); ++k) {
        const auto kind = static_cast<simulation::PolicyKind>(k);
        words.push_back({simulation::word(kind), kind});
    }
    std::vector<ArmWords> arms;
    for (Fields f : root.tables("arm")) {
        ArmWords arm;
        f.one_of<simulation::PolicyKind>("policy", arm.placing.policy, words);
        arm.placing.name = simulation::word(arm.placing.policy);
        f.text("name", arm.placing.name);
        for (const Fields& s : f.table("set")) arm.sets = &s.all();
        f.finish();
        arm.blame = file + ": arm " + arm.placing.name;
        for (const ArmWords& other : arms)
            if (other.placing.name == arm.placing.name) f.wrong("name", "a name that no other arm has");
        arms.push_back(arm);
    }
    if (arms.empty()) arms.push_back({});
    return arms;
}

}  // namespace

Experiment read_experiment(const std::string& text, const std::string& file) {
    const toml::table root = parse_toml(text, file);
    Fields f(root, file, "");
    Experiment e;
    e.name = "unnamed";
    f.text("name", e.name);
    int seeds = 1, first = 1;
    f.whole("seeds", seeds, 1, most_seeds);
    f.whole("first_seed", first, 0, 1'000'000'000);
    for (int k = 0; k < seeds; ++k) e.seeds.push_back(static_cast<uint64_t>(first + k));
    const std::vector<ArmWords> arms = read_arms(f, file);
    std::vector<double> values{0};
    for (Fields s : f.table("sweep")) {
        s.text("key", e.swept);
        values = s.numbers("values", -1e9, 1e9);
        if (e.swept.empty()) s.wrong("key", "the path of a key, such as \"traffic.use\"");
        if (values.empty()) s.wrong("values", "a list of numbers");
        s.finish();
    }
    world_from(f, file);  // the file as it stands must be right before anything is set in it
    f.finish();
    for (const double value : values) {
        Point& point = e.points.emplace_back();
        point.value = value;
        for (const ArmWords& words : arms) {
            toml::table own = root;
            if (words.sets)
                for (const auto& [key, node] : *words.sets)
                    set_in(own, std::string(key.str()), node, words.blame);
            if (!e.swept.empty()) {
                if (value == static_cast<double>(static_cast<int64_t>(value)))
                    set_in(own, e.swept, toml::value<int64_t>(static_cast<int64_t>(value)), file + ": sweep");
                else
                    set_in(own, e.swept, toml::value<double>(value), file + ": sweep");
            }
            Fields arm_fields(own, file, "");
            point.arms.push_back({words.placing, world_from(arm_fields, file)});
        }
    }
    return e;
}

Scenario read_world(const std::string& text, const std::string& file) {
    const toml::table root = parse_toml(text, file);
    Fields f(root, file, "");
    Scenario w = world_from(f, file);
    f.finish();
    return w;
}

}  // namespace headrouter::experiments
