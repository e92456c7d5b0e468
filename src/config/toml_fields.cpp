#include "config/toml_fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string_view>

namespace headrouter {

namespace {

constexpr size_t max_file_bytes = size_t{4} << 20;
constexpr double max_duration_ns = 1e17;  // about three years

struct Unit {
    std::string_view name;
    double ns;
};
constexpr Unit units[] = {{"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"min", 60e9}, {"h", 3600e9}};

std::optional<Duration> parse_duration(const std::string& text) {
    double value = 0;
    const char* const last = text.data() + text.size();
    const std::from_chars_result number = std::from_chars(text.data(), last, value);
    if (number.ec != std::errc() || !std::isfinite(value)) return std::nullopt;
    const std::string_view unit_name(number.ptr, static_cast<size_t>(last - number.ptr));
    const auto* const unit = std::find_if(std::begin(units), std::end(units),
                                          [&](const Unit& known) { return known.name == unit_name; });
    if (unit == std::end(units)) return std::nullopt;
    const double ns = value * unit->ns;
    if (std::abs(ns) > max_duration_ns) return std::nullopt;
    return Duration{static_cast<int64_t>(std::llround(ns))};
}

std::string format_number(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

}  // namespace

std::string in_words(Duration span) {
    const auto ns = static_cast<double>(span.ns);
    for (auto u = std::rbegin(units); u != std::rend(units); ++u)
        if (ns >= u->ns) return format_number(ns / u->ns) + std::string(u->name);
    return format_number(ns / 1e3) + "us";
}

std::string file_text(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw ConfigError("", ParseError("'" + path + "'", "cannot be read"));
    std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (in.bad()) throw ConfigError("", ParseError("'" + path + "'", "cannot be read"));
    if (text.size() > max_file_bytes)
        throw ConfigError("", ParseError("'" + path + "'", "is larger than 4 MB"));
    return text;
}

toml::table parse_toml(const std::string& text, const std::string& file) {
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error& e) {
        const toml::source_position at = e.source().begin;
        throw ConfigError(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column),
                          ParseError(std::string(e.description())));
    }
}

Fields::Fields(const toml::table& table, std::string file, std::string name)
    : table_(&table), file_(std::move(file)), name_(std::move(name)) {}

std::string Fields::position_of(const toml::node* node) const {
    toml::source_position at = node != nullptr ? node->source().begin : toml::source_position{};
    // A value that was set by an arm or a sweep of an experiment, not by the file, has no source position.
    if (at.line == 0) at = table_->source().begin;
    return at.line == 0 ? file_ : file_ + ":" + std::to_string(at.line);
}

void Fields::wrong(const std::string& key, const std::string& expected) const {
    throw ConfigError(position_of(table_->get(key)), name_of(key), expected);
}

const toml::node* Fields::find(const char* key) {
    requested_keys_.emplace_back(key);
    return table_->get(key);
}

void Fields::number(const char* key, double& into, double least, double most) {
    const toml::node* node = find(key);
    if (!node) return;
    const auto value = node->value<double>();
    const bool is_number = node->is_floating_point() || node->is_integer();
    if (!is_number || !value || !(*value >= least) || !(*value <= most))
        wrong(key, "a number from " + format_number(least) + " to " + format_number(most));
    into = *value;
}

void Fields::whole(const char* key, int& into, int least, int most) {
    const toml::node* node = find(key);
    if (!node) return;
    const auto value = node->value<int64_t>();
    if (!node->is_integer() || !value || *value < least || *value > most)
        wrong(key, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    into = static_cast<int>(*value);
}

void Fields::flag(const char* key, bool& into) {
    const toml::node* node = find(key);
    if (!node) return;
    if (!node->is_boolean()) wrong(key, "true or false");
    into = node->as_boolean()->get();
}

void Fields::text(const char* key, std::string& into) {
    const toml::node* node = find(key);
    if (!node) return;
    if (!node->is_string()) wrong(key, "a string");
    into = node->as_string()->get();
}

std::string Fields::nonempty_text(const char* key) {
    std::string word;
    text(key, word);
    if (has(key) && word.empty()) wrong(key, "a string that is not empty");
    return word;
}

void Fields::span(const char* key, Duration& into, Duration least, Duration most) {
    const toml::node* node = find(key);
    if (!node) return;
    const std::optional<Duration> value =
        node->is_string() ? parse_duration(node->as_string()->get()) : std::nullopt;
    if (!value || *value < least || *value > most)
        wrong(key, "a duration from \"" + in_words(least) + "\" to \"" + in_words(most) +
                       "\", written with its unit (us, ms, s, min, h)");
    into = *value;
}

std::vector<double> Fields::numbers(const char* key, double least, double most) {
    const toml::node* node = find(key);
    std::vector<double> all;
    if (!node) return all;
    const std::string expected =
        "a list of numbers from " + format_number(least) + " to " + format_number(most);
    if (!node->is_array()) wrong(key, expected);
    for (const toml::node& one : *node->as_array()) {
        const auto value = one.value<double>();
        if (!one.is_number() || !value || *value < least || *value > most) wrong(key, expected);
        all.push_back(*value);
    }
    return all;
}

std::vector<std::string> Fields::texts(const char* key) {
    const toml::node* node = find(key);
    std::vector<std::string> all;
    if (!node) return all;
    if (!node->is_array()) wrong(key, "a list of strings");
    for (const toml::node& one : *node->as_array()) {
        if (!one.is_string()) wrong(key, "a list of strings");
        all.push_back(one.as_string()->get());
    }
    return all;
}

std::vector<Fields> Fields::tables(const char* key) {
    const toml::node* node = find(key);
    std::vector<Fields> all;
    if (!node) return all;
    if (!node->is_array_of_tables()) wrong(key, "tables, each beginning with [[" + name_of(key) + "]]");
    for (const toml::node& one : *node->as_array())
        all.emplace_back(*one.as_table(), file_, name_of(key) + "[" + std::to_string(all.size() + 1) + "]");
    return all;
}

std::vector<Fields> Fields::table(const char* key) {
    const toml::node* node = find(key);
    if (!node) return {};
    if (!node->is_table()) wrong(key, "a table that begins with [" + name_of(key) + "]");
    return {Fields(*node->as_table(), file_, name_of(key))};
}

void Fields::finish() const {
    for (const auto& [key, node] : *table_) {
        const std::string name(key.str());
        if (std::find(requested_keys_.begin(), requested_keys_.end(), name) != requested_keys_.end())
            continue;
        std::vector<std::string> known = requested_keys_;
        std::sort(known.begin(), known.end());
        std::string list;
        for (const std::string& k : known) list += (list.empty() ? "" : ", ") + k;
        throw ConfigError(position_of(&node), name_of(name), "no such key", "one of " + list);
    }
}

}  // namespace headrouter
