/// Reports input that cannot be parsed.
#pragma once
#include <stdexcept>
#include <string>
#include <utility>

namespace headrouter {

/// Reports input from a file, a socket or a pipe that is malformed or not acceptable. what() is one line for
/// the log.
class ParseError : public std::runtime_error {
   public:
    /// Describes a problem of the input as a whole.
    explicit ParseError(const std::string& problem) : std::runtime_error(problem), problem_(problem) {}

    /// Describes a problem of a part of the input. `where` names the part ("field 'seed'"), `problem`
    /// continues the sentence ("is missing"), `expected` is what is valid; empty if `problem` tells it.
    ParseError(std::string where, std::string problem, std::string expected = "")
        : std::runtime_error(message(where, problem, expected)),
          where_(std::move(where)),
          problem_(std::move(problem)),
          expected_(std::move(expected)) {}

    const std::string& where() const { return where_; }
    const std::string& problem() const { return problem_; }
    const std::string& expected() const { return expected_; }

   protected:
    ParseError(const std::string& text, std::string where, std::string problem, std::string expected)
        : std::runtime_error(text),
          where_(std::move(where)),
          problem_(std::move(problem)),
          expected_(std::move(expected)) {}

   private:
    static std::string message(const std::string& where, const std::string& problem,
                               const std::string& expected) {
        const std::string text = where + " " + problem;
        return expected.empty() ? text : text + "; expected " + expected;
    }

    std::string where_;
    std::string problem_;
    std::string expected_;
};

}  // namespace headrouter
