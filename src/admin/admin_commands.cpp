#include "admin/admin_commands.h"

namespace headrouter::admin {

namespace {

constexpr std::string_view error_prefix = "error";

std::string_view without_line_end(std::string_view line) {
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r' || line.back() == ' '))
        line.remove_suffix(1);
    return line;
}

}  // namespace

bool AdminResponse::is_error() const { return text.starts_with(error_prefix); }

void AdminCommands::add(const std::string& name, Handler handler) { handlers_[name] = std::move(handler); }

AdminResponse AdminCommands::execute(std::string_view line, bool is_complete) const {
    if (!is_complete) return {"error a call is one line and ends with CRLF or LF\r\n"};
    const auto found = handlers_.find(without_line_end(line));
    if (found != handlers_.end()) return {found->second()};
    std::string known_names;
    for (const auto& [name, handler] : handlers_) known_names += (known_names.empty() ? "" : ", ") + name;
    return {"error expected one of " + known_names + "\r\n"};
}

}  // namespace headrouter::admin
