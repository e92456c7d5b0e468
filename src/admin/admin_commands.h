/// Maps the names of the commands that operators send to the admin address to their handlers. No I/O.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace headrouter::admin {

/// Holds the response to an operator: one or more lines, each with its CRLF.
struct AdminResponse {
    std::string text;

    /// Returns whether the first line begins with `error`.
    bool is_error() const;
};

/// Registers commands and runs them. Handlers run on the thread that calls execute().
class AdminCommands {
   public:
    using Handler = std::function<std::string()>;

    /// Registers `handler`; it replaces an earlier handler of the same name.
    void add(const std::string& name, Handler handler);

    /// Runs the command that `line` names. `is_complete`: whether the line end was received. The response
    /// to an incomplete line or an unknown command is an error, which repeats none of the received bytes.
    AdminResponse execute(std::string_view line, bool is_complete) const;

   private:
    std::map<std::string, Handler, std::less<>> handlers_;
};

}  // namespace headrouter::admin
