/// The error for a configuration that cannot be read or used.
#pragma once
#include <string>
#include <utility>

#include "base/parse_error.h"

namespace headrouter {

/// Reports a configuration that cannot be read or used, with the file, the field and the expected value.
class ConfigError : public ParseError {
   public:
    /// "FILE: FIELD: expected EXPECTED". `file` may end in a line number, as in "operator.toml:3".
    ConfigError(std::string file, const std::string& field, const std::string& expected)
        : ParseError(file + ": " + field + ": expected " + expected, field, "has a wrong value", expected),
          file_(std::move(file)) {}

    /// "FILE: FIELD: PROBLEM; expected EXPECTED".
    ConfigError(std::string file, const std::string& field, const std::string& problem,
                const std::string& expected)
        : ParseError(file + ": " + field + ": " + problem + "; expected " + expected, field, problem,
                     expected),
          file_(std::move(file)) {}

    /// Adds the file to `cause`; `file` is empty if the text did not come from a file.
    ConfigError(std::string file, const ParseError& cause)
        : ParseError(file.empty() ? cause.what() : file + ": " + cause.what(), cause.where(), cause.problem(),
                     cause.expected()),
          file_(std::move(file)) {}

    const std::string& file() const { return file_; }
    /// The path of the setting within the file; empty if the error concerns the whole file.
    const std::string& field() const { return where(); }

   private:
    std::string file_;
};

}  // namespace headrouter
