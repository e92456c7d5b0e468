/// Parses the command-line options of `serve` and `check`.
#pragma once
#include <optional>
#include <string>

#include "admin/log.h"

namespace headrouter {

/// Holds the options of `serve` and `check`. Command-line options override the operator's file.
struct CommandLineOptions {
    /// Path of the bootstrap configuration; empty: the path in PROXY_CONFIG.
    std::string config_path;
    /// Path of the operator's file; empty: there is none.
    std::string operator_config_path;
    std::optional<LogLevel> log_level;
    std::optional<LogFormat> log_format;
    /// Whether only the help is requested.
    bool wants_help = false;
};

/// Parses the options that follow the name of the command. Returns nothing if they are invalid, after writing
/// the reason to standard error.
[[nodiscard]] std::optional<CommandLineOptions> parse_options(int argc, char** argv);

}  // namespace headrouter
