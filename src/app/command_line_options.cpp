#include "app/command_line_options.h"

#include <getopt.h>

#include <array>
#include <iostream>

namespace headrouter {

namespace {

constexpr int first_option = 2;  // after the names of the program and of the command
constexpr const char* short_options = "c:l:f:o:h";
constexpr std::array<option, 6> long_options{{{"config", required_argument, nullptr, 'c'},
                                              {"log", required_argument, nullptr, 'l'},
                                              {"log-format", required_argument, nullptr, 'f'},
                                              {"operator", required_argument, nullptr, 'o'},
                                              {"help", no_argument, nullptr, 'h'},
                                              {nullptr, 0, nullptr, 0}}};

bool set_log_level(CommandLineOptions& options, const std::string& word) {
    options.log_level = log_level_from(word);
    if (!options.log_level)
        std::cerr << "headrouter: '" << word
                  << "' is not a log level: expected error, warning, info or debug\n";
    return options.log_level.has_value();
}

bool set_log_format(CommandLineOptions& options, const std::string& word) {
    options.log_format = log_format_from(word);
    if (!options.log_format)
        std::cerr << "headrouter: '" << word << "' is not a log format: expected text or json\n";
    return options.log_format.has_value();
}

/// Applies one option. Returns whether the option and its argument are valid.
bool apply_option(CommandLineOptions& options, int option) {
    switch (option) {
        case 'c': options.config_path = optarg; return true;
        case 'o': options.operator_config_path = optarg; return true;
        case 'l': return set_log_level(options, optarg);
        case 'f': return set_log_format(options, optarg);
        default: return false;  // getopt has already written the error
    }
}

}  // namespace

std::optional<CommandLineOptions> parse_options(int argc, char** argv) {
    CommandLineOptions options;
    optind = first_option;
    for (;;) {
        const int option = getopt_long(argc, argv, short_options, long_options.data(), nullptr);
        if (option == -1) break;
        if (option == 'h') {
            options.wants_help = true;
            return options;
        }
        if (!apply_option(options, option)) return std::nullopt;
    }
    if (optind < argc) {
        std::cerr << "headrouter: unexpected argument '" << argv[optind] << "'\n";
        return std::nullopt;
    }
    return options;
}

}  // namespace headrouter
