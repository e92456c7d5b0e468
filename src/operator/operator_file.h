// The operator's own file: what the platform's JSON does not hold. TOML, all of it optional, everything off
// by default; deploy/operator.example.toml shows it whole. Read at start and again at SIGHUP.
#pragma once
#include <optional>
#include <string>

#include "net/log.h"

namespace headrouter {

struct OperatorFile {
    std::optional<Level> log_level;
    std::optional<Log::Form> log_form;
};

// Throws Malformed: file, line, key, what was expected.
OperatorFile read_operator(const std::string& text, const std::string& file);
OperatorFile read_operator_file(const std::string& path);

}  // namespace headrouter
