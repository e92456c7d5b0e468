#include "admin/metrics.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace headrouter::admin {

namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

void write_count(JsonWriter& json, const std::string& key, uint64_t count) {
    json.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
    json.Uint64(count);
}

void write_outcome(JsonWriter& json, const char* key, const MetricsSnapshot& metrics, SetupOutcome outcome) {
    const std::vector<uint64_t>& counts = metrics.setups.by_class(outcome);
    json.Key(key);
    json.StartObject();
    for (size_t index = 0; index < metrics.class_names.size(); ++index) {
        if (metrics.class_names[index].empty()) continue;
        write_count(json, metrics.class_names[index], index < counts.size() ? counts[index] : 0);
    }
    json.EndObject();
}

}  // namespace

void SetupCounters::grow_to(size_t class_count) {
    for (std::vector<uint64_t>& counts : by_outcome_)
        if (counts.size() < class_count) counts.resize(class_count);
}

void SetupCounters::add(SetupOutcome outcome, int request_class) {
    ++by_outcome_.at(static_cast<size_t>(outcome)).at(static_cast<size_t>(request_class));
}

const std::vector<uint64_t>& SetupCounters::by_class(SetupOutcome outcome) const {
    return by_outcome_.at(static_cast<size_t>(outcome));
}

std::string to_json(const MetricsSnapshot& metrics) {
    rapidjson::StringBuffer text;
    JsonWriter json(text);
    json.StartObject();
    write_outcome(json, "succeeded", metrics, SetupOutcome::succeeded);
    write_outcome(json, "declined", metrics, SetupOutcome::declined);
    write_outcome(json, "aborted", metrics, SetupOutcome::aborted);
    write_count(json, "forwards", metrics.setups.forwards());
    write_count(json, "outstanding", metrics.outstanding);
    write_count(json, "discovered", metrics.discovered);
    write_count(json, "ejected", metrics.ejected);
    json.EndObject();
    return {text.GetString(), text.GetSize()};
}

}  // namespace headrouter::admin
