#include "experiments/results.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cinttypes>
#include <cstdio>

#include "config/json.h"
#include "config/toml_fields.h"

namespace headrouter::experiments {
using namespace scenario;

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;
constexpr int format = 1;

template <class Values, class Write>
void list(Writer& w, const char* name, const Values& values, Write write) {
    w.Key(name);
    w.StartArray();
    for (const auto& v : values) write(v);
    w.EndArray();
}

std::vector<double> numbers(const json::Json& o, const char* name) {
    std::vector<double> all;
    for (const json::Json& v : json::array(o, name).GetArray())
        all.push_back(v.IsNumber() ? v.GetDouble() : 0);
    return all;
}

constexpr std::pair<const char*, uint64_t Outcome::*> counts[] = {
    {"calls", &Outcome::requests}, {"up", &Outcome::up},           {"up_in_time", &Outcome::up_in_time},
    {"busy", &Outcome::busy},      {"failed", &Outcome::failed},   {"moved", &Outcome::moved},
    {"broken", &Outcome::broken},  {"gave_up", &Outcome::gave_up}, {"legs", &Outcome::attempts},
    {"events", &Outcome::events}};
// Since later: results that lack them are read all the same.
constexpr std::pair<const char*, uint64_t Outcome::*> later_counts[] = {
    {"left_waiting", &Outcome::left_waiting},
    {"sent_after_left", &Outcome::sent_after_left},
    {"cold_overrun", &Outcome::cold_overrun},
    {"cold_sent", &Outcome::cold_sent}};
constexpr std::pair<const char*, std::vector<Duration> Outcome::*> delays[] = {
    {"delay_median_ms", &Outcome::delay_median},
    {"delay_95_ms", &Outcome::delay_95},
    {"delay_99_ms", &Outcome::delay_99}};

constexpr std::pair<const char*, double Spread::*> spread_figures[] = {{"cv", &Spread::cv},
                                                                       {"dice", &Spread::dice},
                                                                       {"seeing", &Spread::seeing},
                                                                       {"most", &Spread::most},
                                                                       {"least", &Spread::least},
                                                                       {"worst", &Spread::worst},
                                                                       {"idle", &Spread::idle},
                                                                       {"herd", &Spread::herd},
                                                                       {"herd_dice", &Spread::herd_dice},
                                                                       {"standing", &Spread::standing}};
constexpr std::pair<const char*, double Outcome::*> fleet_figures[] = {
    {"datagrams", &Outcome::datagrams}, {"datagram_bytes", &Outcome::datagram_bytes}, {"cpu", &Outcome::cpu}};

Spread spread_from(const json::Json& o) {
    Spread s;
    for (const auto& [name, field] : spread_figures) s.*field = json::real(o, name);
    return s;
}

std::vector<std::vector<float>> rows_from(const json::Json& o, const char* name) {
    std::vector<std::vector<float>> rows;
    for (const json::Json& row : json::array(o, name).GetArray()) {
        rows.emplace_back();
        if (!row.IsArray()) continue;
        for (const json::Json& v : row.GetArray())
            rows.back().push_back(v.IsNumber() ? static_cast<float>(v.GetDouble()) : -1.f);
    }
    return rows;
}

// What earlier builds did not write is left as it is.
void read_fleet_of_balancers(const json::Json& doc, Outcome& o) {
    if (!json::find(doc, "spread")) return;
    o.spread = spread_from(json::object(doc, "spread"));
    o.load_each = rows_from(doc, "load_each");
    for (const json::Json& s : json::array(doc, "stretches").GetArray())
        o.stretches.push_back({json::text(s, "name"), TimePoint{} + seconds(json::real(s, "from")),
                               TimePoint{} + seconds(json::real(s, "until")),
                               spread_from(json::object(s, "spread")), json::real(s, "service")});
    for (const json::Json& s : json::array(doc, "strikes").GetArray()) {
        if (!s.IsArray() || s.Size() != 5 || !s[0].IsNumber() || !s[1].IsNumber() || !s[2].IsString() ||
            !s[3].IsUint() || !s[4].IsNumber())
            throw ParseError("field 'strikes' holds what is no strike");
        FaultInjection injection;
        injection.from = TimePoint{} + seconds(s[0].GetDouble()),
        injection.until = TimePoint{} + seconds(s[1].GetDouble());
        for (const auto& [name, kind] : fault_words())
            if (name == s[2].GetString()) injection.fault.kind = kind;
        injection.balancers.resize(std::min(s[3].GetUint(), 100000u));
        injection.fault.size = s[4].GetDouble();
        o.injections.push_back(std::move(injection));
    }
    for (const auto& [name, field] : fleet_figures) o.*field = json::real(doc, name);
    o.ended_by_themselves = static_cast<int>(json::natural(doc, "ended_by_themselves"));
}

}  // namespace

std::string to_json(const Outcome& o) {
    rapidjson::StringBuffer buffer;
    Writer w(buffer);
    w.SetMaxDecimalPlaces(6);
    const auto text = [&](const char* name, const std::string& value) {
        w.Key(name);
        w.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
    };
    const auto number = [&](const char* name, double value) { w.Key(name), w.Double(value); };
    w.StartObject();
    w.Key("format"), w.Int(format);
    text("experiment", o.experiment), text("arm", o.arm), text("on", o.on);
    w.Key("seed"), w.Uint64(o.seed);
    number("swept", o.swept), number("service", o.service()), number("asked", o.asked),
        number("served", o.served);
    char digest[20];
    std::snprintf(digest, sizeof digest, "%016" PRIx64, o.digest);
    text("digest", digest);
    w.Key("partial"), w.Bool(o.partial);
    if (!o.not_judged.empty()) text("not_judged", o.not_judged);
    for (const auto& [name, field] : counts) w.Key(name), w.Uint64(o.*field);
    for (const auto& [name, field] : later_counts) w.Key(name), w.Uint64(o.*field);
    w.Key("rules");
    w.StartObject();
    for (size_t r = 0; r < o.rules.size(); ++r) w.Key(word(static_cast<Rule>(r))), w.Uint64(o.rules[r]);
    w.EndObject();
    list(w, "examples", o.examples, [&](const std::string& s) { w.String(s.c_str()); });
    for (const auto& [name, field] : delays)
        list(w, name, o.*field, [&](Duration s) { w.Double(to_seconds(s) * 1000); });
    list(w, "asked_each", o.asked_each, [&](double v) { w.Double(v); });
    list(w, "served_each", o.served_each, [&](double v) { w.Double(v); });
    list(w, "use_each", o.use_each, [&](const std::vector<float>& row) {
        w.StartArray();
        for (const float v : row) w.Double(static_cast<double>(v));
        w.EndArray();
    });
    list(w, "deeds", o.actions, [&](const ScheduledAction& d) {
        w.StartArray();
        w.Double(to_seconds(d.at - TimePoint{})), w.Int(static_cast<int>(d.what)), w.Int(d.target),
            w.Double(d.size);
        w.EndArray();
    });
    const auto spread = [&](const Spread& s) {
        w.StartObject();
        for (const auto& [name, field] : spread_figures) number(name, s.*field);
        w.EndObject();
    };
    w.Key("spread"), spread(o.spread);
    list(w, "stretches", o.stretches, [&](const Outcome::Stretch& s) {
        w.StartObject();
        text("name", s.name), number("from", to_seconds(s.from - TimePoint{})),
            number("until", to_seconds(s.until - TimePoint{})), number("service", s.service);
        w.Key("spread"), spread(s.spread);
        w.EndObject();
    });
    list(w, "load_each", o.load_each, [&](const std::vector<float>& row) {
        w.StartArray();
        for (const float v : row) w.Double(static_cast<double>(v));
        w.EndArray();
    });
    list(w, "strikes", o.injections, [&](const FaultInjection& s) {
        w.StartArray();
        w.Double(to_seconds(s.from - TimePoint{})), w.Double(to_seconds(s.until - TimePoint{}));
        w.String(word(s.fault.kind)), w.Uint64(s.balancers.size()), w.Double(s.fault.size);
        w.EndArray();
    });
    for (const auto& [name, field] : fleet_figures) number(name, o.*field);
    w.Key("ended_by_themselves"), w.Int(o.ended_by_themselves);
    number("wall_seconds", o.wall_seconds);
    w.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

static Outcome from_json(const rapidjson::Document& doc) {
    using namespace json;
    if (!doc.IsObject()) throw ParseError("not an object");
    if (integer(doc, "format") != format) throw ParseError("field 'format' is not " + std::to_string(format));
    Outcome o;
    o.experiment = text(doc, "experiment"), o.arm = text(doc, "arm"), o.on = text(doc, "on");
    o.seed = static_cast<uint64_t>(natural(doc, "seed"));
    o.swept = real(doc, "swept"), o.asked = real(doc, "asked"), o.served = real(doc, "served");
    o.digest = std::strtoull(text(doc, "digest").c_str(), nullptr, 16);
    o.partial = flag(doc, "partial");
    o.not_judged = text_or(doc, "not_judged", "");
    for (const auto& [name, field] : counts) o.*field = static_cast<uint64_t>(natural(doc, name));
    for (const auto& [name, field] : later_counts)
        if (find(doc, name)) o.*field = static_cast<uint64_t>(natural(doc, name));
    const Json& rules = object(doc, "rules");
    for (size_t r = 0; r < static_cast<size_t>(Rule::how_many); ++r)
        o.rules.push_back(static_cast<uint64_t>(natural(rules, word(static_cast<Rule>(r)))));
    for (const Json& e : array(doc, "examples").GetArray())
        if (e.IsString()) o.examples.emplace_back(e.GetString());
    for (const auto& [name, field] : delays)
        for (const double ms : numbers(doc, name)) (o.*field).push_back(millis(ms));
    o.asked_each = numbers(doc, "asked_each"), o.served_each = numbers(doc, "served_each");
    for (const Json& row : array(doc, "use_each").GetArray()) {
        if (!row.IsArray()) wrong("use_each", "a list of lists");
        auto& into = o.use_each.emplace_back();
        for (const Json& v : row.GetArray()) into.push_back(v.IsNumber() ? v.GetFloat() : 0.f);
    }
    for (const Json& d : array(doc, "deeds").GetArray()) {
        if (!d.IsArray() || d.Size() != 4 || !d[0].IsNumber() || !d[1].IsInt() || !d[2].IsInt() ||
            !d[3].IsNumber())
            wrong("deeds", "a list of deeds");
        o.actions.push_back({TimePoint{} + seconds(d[0].GetDouble()),
                             static_cast<ScheduledAction::What>(d[1].GetInt()), d[2].GetInt(),
                             d[3].GetDouble()});
    }
    read_fleet_of_balancers(doc, o);
    o.wall_seconds = real(doc, "wall_seconds");
    return o;
}

Results read_results(const std::string& path) {
    const std::string all = [&] {
        FILE* f = std::fopen(path.c_str(), "rb");
        if (!f) throw ParseError("'" + path + "' cannot be read");
        std::string text;
        char bytes[65536];
        for (size_t n = 0; (n = std::fread(bytes, 1, sizeof bytes, f)) > 0;) text.append(bytes, n);
        std::fclose(f);
        return text;
    }();
    Results results;
    int line_number = 0;
    for (size_t from = 0; from < all.size();) {
        const size_t to = all.find('\n', from);
        ++line_number;
        if (to == std::string::npos) {
            ++results.cut_off;
            break;
        }
        const std::string line = all.substr(from, to - from);
        from = to + 1;
        if (line.empty()) continue;
        try {
            rapidjson::Document doc;
            json::parse(doc, line);
            results.outcomes.push_back(from_json(doc));
        } catch (const ParseError& e) {
            throw ParseError(path + ":" + std::to_string(line_number) + ": " + e.what());
        }
    }
    return results;
}

}  // namespace headrouter::experiments
