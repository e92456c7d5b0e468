/// Reads fields of TOML 1.0 files (toml.io). Every error is thrown as ConfigError with the file, the line,
/// the field and the expected value. A key that no function has read is an error too, because it is most
/// often a misspelt one.
#pragma once
#include <toml++/toml.h>

#include <string>
#include <vector>

#include "base/parse_error.h"
#include "base/time.h"
#include "config/config_error.h"
#include "config/named_value.h"

namespace headrouter {

/// Parses `text`; `file` is the file name for error messages. Throws ConfigError if the text is not valid
/// TOML.
[[nodiscard]] toml::table parse_toml(const std::string& text, const std::string& file);
/// Returns the content of a file. Throws ConfigError if the file cannot be read or exceeds the size limit for
/// configuration files.
[[nodiscard]] std::string file_text(const std::string& path);

/// Reads the fields of one table. A function that takes `into` leaves it unchanged if the key is absent, and
/// throws ConfigError if the value has another type or is out of range (both bounds are in the range).
class Fields {
   public:
    /// The table must outlive this object. `name` is the table's name for error messages, such as "traffic"
    /// or "fleet.kind[1]"; empty for the root table of the file.
    Fields(const toml::table&, std::string file, std::string name);

    bool has(const char* key) const { return table_->contains(key); }
    void number(const char* key, double& into, double least, double most);
    void whole(const char* key, int& into, int least, int most);
    void flag(const char* key, bool& into);
    void text(const char* key, std::string& into);
    /// Reads a duration, written as a string with its unit: "250us", "300ms", "2s", "1.5min", "2h".
    void span(const char* key, Duration& into, Duration least, Duration most);
    std::vector<double> numbers(const char* key, double least, double most);
    std::vector<std::string> texts(const char* key);
    /// Reads a string and sets `into` to the value that `words` assigns to it.
    template <class Value>
    void one_of(const char* key, Value& into, const std::vector<NamedValue<Value>>& words) {
        const std::string word = nonempty_text(key);
        if (word.empty()) return;
        std::string expected;
        for (const NamedValue<Value>& known : words) {
            if (word == known.name) {
                into = known.value;
                return;
            }
            expected += (expected.empty() ? "one of " : ", ") + known.name;
        }
        wrong(key, expected);
    }
    /// Returns the elements of an array of tables, [[key]]; none if the key is absent.
    std::vector<Fields> tables(const char* key);
    /// Returns the table at a key, [key], as a list of one; empty if the key is absent.
    std::vector<Fields> table(const char* key);
    const toml::table& all() const { return *table_; }
    /// Throws ConfigError if the table has a key that no function has read.
    void finish() const;
    /// Throws ConfigError that reports the value of `key` as invalid.
    [[noreturn]] void wrong(const std::string& key, const std::string& expected) const;

   private:
    const toml::node* find(const char* key);
    std::string nonempty_text(const char* key);
    std::string position_of(const toml::node*) const;
    std::string name_of(const std::string& key) const { return name_.empty() ? key : name_ + "." + key; }

    const toml::table* table_;
    std::string file_, name_;
    std::vector<std::string> requested_keys_;
};

/// Formats a duration as Fields::span() reads it, in the largest fitting unit: "300ms".
std::string in_words(Duration);

}  // namespace headrouter
