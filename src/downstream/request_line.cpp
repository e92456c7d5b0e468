#include "downstream/request_line.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <vector>

namespace headrouter {

namespace {
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view verb = "OPEN";
constexpr size_t word_count = 4;       // verb, id, key, field list
constexpr size_t wire_id_length = 16;  // hexadecimal digits
constexpr int unknown = -1;            // index of a class or tenant that is missing or not configured
constexpr int64_t ns_per_ms = 1'000'000;

// A client may ask for any wait, but a larger one could overflow the policy's time type.
constexpr int64_t max_wait_ms = 1'000'000'000;

template <class Number>
std::optional<Number> parse_non_negative(std::string_view text) {
    Number value{};
    const char* const text_end = text.data() + text.size();
    const auto [parsed_to, error] = std::from_chars(text.data(), text_end, value);
    if (text.empty() || error != std::errc() || parsed_to != text_end || value < 0) return {};
    return value;
}

std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> parts;
    for (size_t begin = 0; begin <= text.size();) {
        const size_t end = std::min(text.find(separator, begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

bool is_printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c >= 0x20 && c < 0x7f; });
}

// Checked here because every server rejects a malformed id: each retry on another server would fail as well.
bool is_wire_id(std::string_view id) {
    return id.size() == wire_id_length && id.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

int index_of(const std::vector<std::string>& names, std::string_view name) {
    const auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? unknown : static_cast<int>(it - names.begin());
}

using FieldError = std::optional<RequestLineError>;  // empty if the field is valid

// Parses the fields of one line into a RequestLine.
class FieldReader {
   public:
    FieldReader(std::string_view line, const ClusterConfig& config, RequestLine& result)
        : line_(line), config_(config), result_(result) {
        result_.request.type = unknown;
        result_.request.tenant = unknown;
    }

    FieldError read(std::string_view field) {
        const size_t equals = field.find('=');
        if (equals == std::string_view::npos || equals == 0 || equals + 1 == field.size())
            return RequestLineError::malformed_field;
        const std::string_view name = field.substr(0, equals);
        if (std::find(seen_names_.begin(), seen_names_.end(), name) != seen_names_.end())
            return RequestLineError::duplicate_field;
        seen_names_.push_back(name);
        return read_value(name, field.substr(equals + 1));
    }

    // Checks that the required fields are present, once all fields are read.
    FieldError finish() {
        Request& request = result_.request;
        if (request.type == unknown) return RequestLineError::missing_class;
        if (request.tenant == unknown && has_tenants()) return RequestLineError::missing_tenant;
        if (request.group.empty() && config_.policy.groups) return RequestLineError::missing_group;
        if (result_.wait_length == 0) return RequestLineError::missing_wait;
        request.tenant = std::max(0, request.tenant);
        return {};
    }

   private:
    // Fields with other names are meant for the servers and ignored here.
    FieldError read_value(std::string_view name, std::string_view value) {
        if (name == "c") return read_class(value);
        if (name == "t") return read_tenant(value);
        if (name == "d") return read_wait(value);
        if (name == "again" || name == "r") return read_flag(name, value);
        if (name == "g") result_.request.group = value;
        if (name == "at") result_.established_server = value;
        if (name == "h") read_load_hint(value);
        return {};
    }

    FieldError read_class(std::string_view value) {
        result_.request.type = index_of(config_.request_class_names, value);
        if (result_.request.type == unknown) return RequestLineError::unknown_class;
        return {};
    }

    FieldError read_tenant(std::string_view value) {
        result_.request.tenant = index_of(config_.tenant_names, value);
        if (result_.request.tenant == unknown && has_tenants()) return RequestLineError::unknown_tenant;
        return {};
    }

    FieldError read_wait(std::string_view value) {
        const std::optional<int64_t> wait_ms = parse_non_negative<int64_t>(value);
        if (!wait_ms) return RequestLineError::malformed_wait;
        result_.wait = millis(static_cast<double>(std::min(*wait_ms, max_wait_ms)));
        result_.wait_offset = static_cast<size_t>(value.data() - line_.data());
        result_.wait_length = value.size();
        return {};
    }

    FieldError read_flag(std::string_view name, std::string_view value) {
        if (value != "0" && value != "1") return RequestLineError::malformed_flag;
        if (name == "again") result_.request.is_reconnect = value == "1";
        return {};
    }

    // The hint is only an estimate by the client, so a malformed one is ignored.
    void read_load_hint(std::string_view value) {
        const std::optional<int64_t> load = parse_non_negative<int64_t>(value);
        if (load) result_.request.hinted_load = Duration{*load};
    }

    bool has_tenants() const { return !config_.tenant_names.empty(); }

    std::string_view line_;
    const ClusterConfig& config_;
    RequestLine& result_;
    std::vector<std::string_view> seen_names_;
};
}  // namespace

std::string_view describe(RequestLineError error) {
    switch (error) {
        case RequestLineError::no_crlf: return "line does not end with CRLF";
        case RequestLineError::unprintable_byte: return "line contains a byte that is not printable ASCII";
        case RequestLineError::wrong_format:
            return "line is not of the form 'OPEN id key fields' with single spaces";
        case RequestLineError::malformed_id: return "id is not 16 lower-case hexadecimal digits";
        case RequestLineError::empty_key: return "key is empty";
        case RequestLineError::malformed_field: return "field is not of the form name=value";
        case RequestLineError::duplicate_field: return "field occurs twice";
        case RequestLineError::unknown_class: return "request class (c) is not configured";
        case RequestLineError::unknown_tenant: return "tenant (t) is not configured";
        case RequestLineError::malformed_flag: return "flag (again, r) is neither 0 nor 1";
        case RequestLineError::malformed_wait: return "wait (d) is not a whole number of milliseconds";
        case RequestLineError::missing_class: return "request class (c) is missing";
        case RequestLineError::missing_tenant: return "tenant (t) is missing";
        case RequestLineError::missing_group: return "affinity group (g) is missing";
        case RequestLineError::missing_wait: return "wait (d) is missing";
        case RequestLineError::id_in_use: return "id belongs to an active request";
        case RequestLineError::id_has_run: return "id belongs to a request that may have run";
    }
    return "";
}

Result<RequestLine, RequestLineError> parse_request_line(std::string_view line, const ClusterConfig& config) {
    if (!line.ends_with(line_end)) return RequestLineError::no_crlf;
    const std::string_view text = line.substr(0, line.size() - line_end.size());
    if (!is_printable(text)) return RequestLineError::unprintable_byte;
    // Words are separated by exactly one space: a server parses the same bytes and may take two spaces for an
    // empty word between them.
    const std::vector<std::string_view> words = split(text, ' ');
    if (words.size() != word_count || words[0] != verb) return RequestLineError::wrong_format;
    if (!is_wire_id(words[1])) return RequestLineError::malformed_id;
    if (words[2].empty()) return RequestLineError::empty_key;

    RequestLine result;
    result.line = line;
    result.wire_id = words[1];
    result.request.key = words[2];
    FieldReader reader(line, config, result);
    for (const std::string_view field : split(words[3], ',')) {
        if (const FieldError error = reader.read(field)) return *error;
    }
    if (const FieldError error = reader.finish()) return *error;
    if (result.established_server.empty())
        result.wait = std::min(result.wait, config.policy.request_classes[result.request.type].deadline);
    return result;
}

std::string RequestLine::line_with_wait(Duration new_wait) const {
    const int64_t wait_ms = std::max<int64_t>(1, new_wait.ns / ns_per_ms);
    std::string result = line;
    return result.replace(wait_offset, wait_length, std::to_string(wait_ms));
}

}  // namespace headrouter
