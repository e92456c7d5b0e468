#include "admin/log.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <type_traits>

namespace headrouter {

namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr std::array<std::string_view, 4> level_names{"error", "warning", "info", "debug"};
constexpr std::array<std::string_view, 2> format_names{"text", "json"};
constexpr int64_t millis_per_second = 1000;
constexpr int decimals_of_a_second = 3;

std::string_view name_of(LogLevel level) { return level_names[static_cast<size_t>(level)]; }

/// Returns the enumerator whose value is the index of `word` in `names`; nullopt if `word` is not in `names`.
template <class Enum, size_t size>
std::optional<Enum> enumerator_from(const std::array<std::string_view, size>& names, std::string_view word) {
    const auto found = std::find(names.begin(), names.end(), word);
    if (found == names.end()) return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

bool is_control(char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }

bool needs_quotes(std::string_view value) {
    const auto is_special = [](char c) { return c == ' ' || c == '"' || c == '=' || is_control(c); };
    return value.empty() || std::any_of(value.begin(), value.end(), is_special);
}

void append_escaped(std::string& out, char c) {
    constexpr std::string_view hex_digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
        out += '\\';
        out += c;
    } else if (c == '\n') {
        out += "\\n";
    } else if (c == '\r') {
        out += "\\r";
    } else if (c == '\t') {
        out += "\\t";
    } else if (is_control(c)) {
        out += "\\x";
        out += hex_digits[byte >> 4U];
        out += hex_digits[byte & 0xfU];
    } else {
        out += c;
    }
}

void append_text(std::string& out, std::string_view value) {
    if (!needs_quotes(value)) {
        out += value;
        return;
    }
    out += '"';
    for (const char c : value) append_escaped(out, c);
    out += '"';
}

void append_value(std::string& out, const LogField::Value& value) {
    std::visit(
        [&](const auto& held) {
            using Held = std::decay_t<decltype(held)>;
            if constexpr (std::is_same_v<Held, std::string_view>) {
                append_text(out, held);
            } else if constexpr (std::is_same_v<Held, bool>) {
                out += held ? "true" : "false";
            } else if constexpr (std::is_same_v<Held, double>) {
                std::ostringstream number;
                number << held;
                out += number.str();
            } else {
                out += std::to_string(held);
            }
        },
        value);
}

std::string line_text(std::string_view event, LogFields fields) {
    std::string text(event);
    for (const LogField& field : fields) {
        text += ' ';
        text += field.key();
        text += '=';
        append_value(text, field.value());
    }
    return text;
}

/// Replaces bytes that are not ASCII by `?`: text may contain bytes that a client sent, and invalid UTF-8
/// would make the whole record unreadable.
void write_string(JsonWriter& json, std::string_view text) {
    std::string clean(text);
    std::replace_if(
        clean.begin(), clean.end(), [](char c) { return static_cast<unsigned char>(c) >= 0x80; }, '?');
    json.String(clean.data(), static_cast<rapidjson::SizeType>(clean.size()));
}

void write_key(JsonWriter& json, std::string_view key) {
    json.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
}

void write_value(JsonWriter& json, const LogField::Value& value) {
    std::visit(
        [&](const auto& held) {
            using Held = std::decay_t<decltype(held)>;
            if constexpr (std::is_same_v<Held, std::string_view>) {
                write_string(json, held);
            } else if constexpr (std::is_same_v<Held, bool>) {
                json.Bool(held);
            } else if constexpr (std::is_same_v<Held, double>) {
                // JSON has no infinity and no NaN
                if (std::isfinite(held))
                    json.Double(held);
                else
                    json.Null();
            } else if constexpr (std::is_same_v<Held, int64_t>) {
                json.Int64(held);
            } else {
                json.Uint64(held);
            }
        },
        value);
}

void write_fields(JsonWriter& json, std::string_view event, LogFields fields) {
    if (event.empty()) return;
    json.Key("event");
    write_string(json, event);
    for (const LogField& field : fields) {
        write_key(json, field.key());
        write_value(json, field.value());
    }
}

std::string json_record(double at, LogLevel level, const std::string& name, const std::string& text,
                        std::string_view event, LogFields fields) {
    rapidjson::StringBuffer buffer;
    JsonWriter json(buffer);
    json.SetMaxDecimalPlaces(decimals_of_a_second);
    json.StartObject();
    json.Key("at");
    json.Double(at);
    json.SetMaxDecimalPlaces(JsonWriter::kDefaultMaxDecimalPlaces);
    json.Key("level");
    write_string(json, name_of(level));
    json.Key("name");
    json.String(name.c_str(), static_cast<rapidjson::SizeType>(name.size()));
    json.Key("text");
    write_string(json, text);
    write_fields(json, event, fields);
    json.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

int64_t unix_millis() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace

std::optional<LogLevel> log_level_from(std::string_view word) {
    return enumerator_from<LogLevel>(level_names, word);
}

std::optional<LogFormat> log_format_from(std::string_view word) {
    return enumerator_from<LogFormat>(format_names, word);
}

void Log::configure(LogLevel max_level, LogFormat format) {
    max_level_ = max_level;
    format_ = format;
}

void Log::write(LogLevel level, std::string_view event, LogFields fields) {
    if (writes(level)) write_record(level, line_text(event, fields), event, fields);
}

void Log::write_record(LogLevel level, const std::string& text, std::string_view event, LogFields fields) {
    const int64_t at = unix_millis();
    if (format_ == LogFormat::json) {
        const double at_seconds = static_cast<double>(at) / static_cast<double>(millis_per_second);
        out_ << json_record(at_seconds, level, name_, text, event, fields) << '\n';
    } else {
        out_ << at / millis_per_second << '.' << std::setw(decimals_of_a_second) << std::setfill('0')
             << at % millis_per_second << ' ' << name_of(level) << ' ' << name_ << (name_.empty() ? "" : " ")
             << text << '\n';
    }
    out_.flush();
    // A write error, as after the reader exited, must neither disable the log for good nor stop the balancer.
    out_.clear();
}

}  // namespace headrouter
