/// Writes log lines: one event per line, `event key=value ...`, filtered by level.
///
///     log.info("endpoint_list_received", {{"version", version}, {"endpoints", count}});
///
/// writes, as text and as a JSON record:
///
///     1796154211.510 info n1 endpoint_list_received version=7 endpoints=3
///     {"at":1796154211.51,"level":"info","name":"n1","text":"endpoint_list_received version=7 endpoints=3",
///      "event":"endpoint_list_received","version":7,"endpoints":3}
#pragma once
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <ostream>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <variant>

namespace headrouter {

/// Levels from the most to the least important; a log writes lines of its own level and the levels before it.
enum class LogLevel { error, warning, info, debug };

enum class LogFormat { text, json };

/// Returns the level or format with the given name, as in the configuration or on the command line;
/// nullopt if there is none.
std::optional<LogLevel> log_level_from(std::string_view word);
std::optional<LogFormat> log_format_from(std::string_view word);

/// Holds one `key=value` of a line. Strings are referenced, not copied, so a field is valid only during
/// the call that it is an argument of. The keys `at`, `level`, `name`, `text` and `event` are reserved for
/// the JSON record itself.
class LogField {
   public:
    using Value = std::variant<bool, int64_t, uint64_t, double, std::string_view>;

    LogField(std::string_view key, bool value) : key_(key), value_(value) {}
    template <std::signed_integral T>
    LogField(std::string_view key, T value) : key_(key), value_(static_cast<int64_t>(value)) {}
    template <std::unsigned_integral T>
    LogField(std::string_view key, T value) : key_(key), value_(static_cast<uint64_t>(value)) {}
    LogField(std::string_view key, double value) : key_(key), value_(value) {}
    LogField(std::string_view key, std::string_view value) : key_(key), value_(value) {}
    LogField(std::string_view key, const std::string& value) : key_(key), value_(std::string_view(value)) {}
    LogField(std::string_view key, const char* value) : key_(key), value_(std::string_view(value)) {}

    std::string_view key() const { return key_; }
    const Value& value() const { return value_; }

   private:
    std::string_view key_;
    Value value_;
};

using LogFields = std::span<const LogField>;
using LogFieldList = std::initializer_list<LogField>;

/// Writes log lines to a stream. Not thread-safe: each log belongs to one thread.
class Log {
   public:
    /// `out` must outlive the log. Lines above `max_level` are dropped. `name` is the balancer's name,
    /// written in every line.
    Log(std::ostream& out, LogLevel max_level, std::string name = "", LogFormat format = LogFormat::text)
        : out_(out), max_level_(max_level), name_(std::move(name)), format_(format) {}

    /// Each function writes one line and flushes it. A line that the level filters out is not formatted. A
    /// text value is quoted if it is empty or contains a space, a quote, `=` or a control character.
    void error(std::string_view event, LogFieldList fields = {}) { write(LogLevel::error, event, fields); }
    void warning(std::string_view event, LogFieldList fields = {}) {
        write(LogLevel::warning, event, fields);
    }
    void info(std::string_view event, LogFieldList fields = {}) { write(LogLevel::info, event, fields); }
    void debug(std::string_view event, LogFieldList fields = {}) { write(LogLevel::debug, event, fields); }

    /// Writes a line whose level or fields are known only at run time.
    void write(LogLevel level, std::string_view event, LogFields fields);

    /// Returns whether lines of `level` are written, for callers whose values are expensive to compute.
    bool writes(LogLevel level) const { return level <= max_level_; }

    /// Sets the level and the format, starting with the next line.
    void configure(LogLevel max_level, LogFormat format);

    /// Collects a line of free text and writes it when the object is destroyed. For lines that are not yet
    /// in the form `event key=value ...`.
    class Line {
       public:
        Line(Log* log, LogLevel level) : log_(log), level_(level) {}
        Line(const Line&) = delete;
        Line& operator=(const Line&) = delete;
        ~Line() {
            if (log_) log_->write_record(level_, text_.str(), {}, {});
        }
        template <class T>
        Line& operator<<(const T& value) {
            if (log_) text_ << value;
            return *this;
        }

       private:
        Log* log_;
        LogLevel level_;
        std::ostringstream text_;
    };

    Line error() { return line(LogLevel::error); }
    Line warning() { return line(LogLevel::warning); }
    Line info() { return line(LogLevel::info); }
    Line debug() { return line(LogLevel::debug); }

   private:
    Line line(LogLevel level) { return {writes(level) ? this : nullptr, level}; }
    void write(LogLevel level, std::string_view event, LogFieldList fields) {
        write(level, event, LogFields(fields.begin(), fields.size()));
    }
    void write_record(LogLevel level, const std::string& text, std::string_view event, LogFields fields);

    std::ostream& out_;
    LogLevel max_level_;
    std::string name_;
    LogFormat format_;
};

}  // namespace headrouter
