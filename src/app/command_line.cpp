#include "app/command_line.h"

#include <iostream>
#include <string>
#include <system_error>
#include <utility>

#include "app/check_command.h"
#include "app/command_line_options.h"
#include "app/configuration.h"
#include "app/serve_command.h"

namespace headrouter {

namespace {

// Exit codes.
constexpr int success = 0;
constexpr int failure = 1;
constexpr int wrong_usage = 2;

constexpr const char* help =
    "usage: headrouter COMMAND [OPTIONS]\n"
    "\n"
    "  serve      serve clients until shut down by a signal\n"
    "  check      read the configuration, print a summary, and exit\n"
    "  version    print the version\n"
    "  help       print this help\n"
    "\n"
    "options of serve and check:\n"
    "  -c, --config FILE   the configuration file (default: the path in PROXY_CONFIG)\n"
    "  -l, --log LEVEL     error, warning, info or debug (default: info)\n"
    "  -f, --log-format F  text or json, one record per line (default: text)\n"
    "  -o, --operator FILE the operator's settings, in TOML (deploy/operator.example.toml)\n"
    "\n"
    "Balancers exchange gossip if the configuration lists \"peers\" and enables gossip "
    "(docs/migration.md).\n"
    "PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_OPS, if set, override the file.\n"
    "Signals to serve: TERM and INT shut down gracefully, USR1 logs the counters, USR2 turns\n"
    "recording on and off (into the folder set in the operator's file), HUP reloads the\n"
    "configuration and the operator's file (discovery in the file then overrides PROXY_DISCOVERY).\n";

int print_help() {
    std::cout << help;
    return success;
}

int print_usage_error() {
    std::cerr << help;
    return wrong_usage;
}

int print_version() {
    std::cout << "headrouter " HEADROUTER_VERSION "\n";
    return success;
}

int report_failure(const std::exception& error) {
    std::cerr << "headrouter: " << error.what() << "\n";
    return failure;
}

/// Runs `serve` or `check`.
int run_command(const std::string& command, const CommandLineOptions& options) {
    const Clock clock;
    Configuration configuration = load_configuration(options, clock, LoadReason::start);
    if (command == "check") {
        print_configuration(std::cout, configuration);
        return success;
    }
    Log log(std::clog, LogLevel::info, configuration.bootstrap.name);
    configure_log(log, configuration.operator_config);
    return ServeCommand(std::move(configuration), options, clock, log).run();
}

}  // namespace

int command_line(int argc, char** argv) {
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "help" || command == "--help" || command == "-h") return print_help();
    if (command == "version" || command == "--version") return print_version();
    if (command != "serve" && command != "check") return print_usage_error();
    const std::optional<CommandLineOptions> options = parse_options(argc, argv);
    if (!options) return wrong_usage;
    if (options->wants_help) return print_help();
    try {
        return run_command(command, *options);
    } catch (const ParseError& error) {
        return report_failure(error);
    } catch (const std::system_error& error) {
        return report_failure(error);
    }
}

}  // namespace headrouter
