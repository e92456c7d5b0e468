#include "app/configuration.h"

namespace headrouter {

namespace {

OperatorConfig load_operator_config(const CommandLineOptions& options) {
    OperatorConfig config;
    if (!options.operator_config_path.empty()) config = read_operator_file(options.operator_config_path);
    if (options.log_level) config.log_level = options.log_level;
    if (options.log_format) config.log_format = options.log_format;
    return config;
}

std::string bootstrap_path(const CommandLineOptions& options) {
    return options.config_path.empty() ? bootstrap_path_from_environment() : options.config_path;
}

}  // namespace

Configuration load_configuration(const CommandLineOptions& options, const Clock& clock, LoadReason reason) {
    Configuration configuration;
    configuration.bootstrap = load_bootstrap_config(bootstrap_path(options), clock, reason);
    configuration.operator_config = load_operator_config(options);
    PolicyConfig& policy = configuration.bootstrap.cluster.policy;
    policy.subset_order = configuration.operator_config.uses_subset_order;
    policy.aggregates_fleet_load = configuration.operator_config.aggregates_fleet_load;
    return configuration;
}

void configure_log(Log& log, const OperatorConfig& config) {
    log.configure(config.log_level.value_or(LogLevel::info), config.log_format.value_or(LogFormat::text));
}

}  // namespace headrouter
