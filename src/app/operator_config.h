/// Reads the operator's file, a TOML file for settings that the platform's JSON does not contain. Every
/// setting is optional; deploy/operator.example.toml lists all of them.
#pragma once
#include <optional>
#include <string>

#include "admin/log.h"
#include "capture/recorder.h"

namespace headrouter {

/// Holds the operator's settings, which are read at the start and again at SIGHUP. Every feature is off by
/// default.
struct OperatorConfig {
    struct Capture {
        /// Whether recording is on from the start; SIGUSR2 turns it on and off.
        bool on = false;
        capture::RecorderConfig recorder;
    };

    std::optional<LogLevel> log_level;
    std::optional<LogFormat> log_format;
    /// Whether this balancer uses its own order of servers, to spread the load of many balancers
    /// (docs/fleet-load.md).
    bool uses_subset_order = false;
    /// Whether this balancer uses servers' headroom as aggregated over the reports of all balancers.
    bool aggregates_fleet_load = false;
    /// Settings of recordings; empty: no folder for recordings is configured.
    std::optional<Capture> capture;
};

/// Parses `text`; `file` is the file name for error messages. Throws ConfigError with the file and line, the
/// key and the expected value.
[[nodiscard]] OperatorConfig parse_operator_config(const std::string& text, const std::string& file);
/// Reads and parses the file at `path`. Throws ConfigError.
[[nodiscard]] OperatorConfig read_operator_file(const std::string& path);

}  // namespace headrouter
