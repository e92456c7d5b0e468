/// Loads the whole configuration of the program: the platform's file, the environment, the operator's file
/// and the command-line options.
#pragma once
#include "app/bootstrap.h"
#include "app/command_line_options.h"
#include "app/operator_config.h"
#include "proxy/bootstrap_config.h"
#include "transport/clock.h"

namespace headrouter {

/// Holds both parts of the configuration after merging: policy settings of the operator's file are applied to
/// `bootstrap`, command-line options to `operator_config`.
struct Configuration {
    BootstrapConfig bootstrap;
    OperatorConfig operator_config;
};

/// Reads both files and merges in the environment and the options. Throws ConfigError.
[[nodiscard]] Configuration load_configuration(const CommandLineOptions&, const Clock&, LoadReason);

/// Sets level and format of the log as configured; the defaults are info and text.
void configure_log(Log&, const OperatorConfig&);

}  // namespace headrouter
