#include "app/bootstrap.h"

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace headrouter {

namespace {

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw ConfigError("", ParseError("'" + path + "'", "cannot be read"));
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void replace_from_environment(const char* variable, std::string& setting) {
    const char* const value = std::getenv(variable);
    const bool is_set = value != nullptr && *value != '\0';
    if (is_set) setting = value;
}

}  // namespace

BootstrapConfig load_bootstrap_config(const std::string& path, const Clock& clock, LoadReason reason) {
    const std::string text = read_file(path);
    BootstrapConfig config;
    try {
        config = parse_bootstrap_config(text, clock);
    } catch (const ConfigError& error) {
        throw ConfigError(path, error);
    }
    replace_from_environment("PROXY_NAME", config.name);
    replace_from_environment("PROXY_LISTEN", config.listen);
    replace_from_environment("PROXY_OPS", config.admin);
    if (reason == LoadReason::start) replace_from_environment("PROXY_DISCOVERY", config.discovery);
    replace_from_environment("TMPDIR", config.runtime_folder);
    return config;
}

std::string bootstrap_path_from_environment() {
    const char* const path = std::getenv("PROXY_CONFIG");
    const bool is_set = path != nullptr && *path != '\0';
    if (!is_set)
        throw ConfigError("", ParseError("PROXY_CONFIG",
                                         "is not set or empty; expected the path of the configuration file"));
    return path;
}

}  // namespace headrouter
