#include "app/operator_config.h"

#include "config/toml_fields.h"

namespace headrouter {

namespace {

constexpr Duration min_recording_age = seconds(1);
constexpr Duration max_recording_age = seconds(366.0 * 86400);
constexpr int max_segment_mb = 1024;
constexpr int max_kept_mb = 1 << 20;
constexpr int max_queue_mb = 1024;
constexpr unsigned megabyte_shift = 20;

void read_log(Fields fields, OperatorConfig& config) {
    if (fields.has("level"))
        fields.one_of<LogLevel>("level", config.log_level.emplace(),
                                {{"error", LogLevel::error},
                                 {"warning", LogLevel::warning},
                                 {"info", LogLevel::info},
                                 {"debug", LogLevel::debug}});
    if (fields.has("format"))
        fields.one_of<LogFormat>("format", config.log_format.emplace(),
                                 {{"text", LogFormat::text}, {"json", LogFormat::json}});
    fields.finish();
}

void read_spread(Fields fields, OperatorConfig& config) {
    fields.flag("by_number", config.uses_subset_order);
    fields.flag("pooled", config.aggregates_fleet_load);
    fields.finish();
}

/// Reads a size given in megabytes; `bytes` holds the default and receives the result.
void read_megabytes(Fields& fields, const char* key, int max, size_t& bytes) {
    int megabytes = static_cast<int>(bytes >> megabyte_shift);
    fields.whole(key, megabytes, 1, max);
    bytes = static_cast<size_t>(megabytes) << megabyte_shift;
}

OperatorConfig::Capture read_capture(Fields fields) {
    OperatorConfig::Capture capture;
    capture::RecorderConfig& recorder = capture.recorder;
    fields.text("folder", recorder.folder);
    if (recorder.folder.empty()) fields.wrong("folder", "the path of a folder");
    fields.flag("on", capture.on);
    read_megabytes(fields, "segment_mb", max_segment_mb, recorder.segment_bytes);
    fields.span("segment_age", recorder.segment_age, min_recording_age, max_recording_age);
    read_megabytes(fields, "keep_mb", max_kept_mb, recorder.keep_bytes);
    fields.span("keep_age", recorder.keep_age, min_recording_age, max_recording_age);
    read_megabytes(fields, "queue_mb", max_queue_mb, recorder.queue_bytes);
    fields.finish();
    return capture;
}

}  // namespace

OperatorConfig parse_operator_config(const std::string& text, const std::string& file) {
    const toml::table root = parse_toml(text, file);
    Fields fields(root, file, "");
    OperatorConfig config;
    for (const Fields& log : fields.table("log")) read_log(log, config);
    for (const Fields& spread : fields.table("spread")) read_spread(spread, config);
    for (const Fields& capture : fields.table("capture")) config.capture = read_capture(capture);
    fields.finish();
    return config;
}

OperatorConfig read_operator_file(const std::string& path) {
    return parse_operator_config(file_text(path), path);
}

}  // namespace headrouter
