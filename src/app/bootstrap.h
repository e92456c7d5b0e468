/// Loads the bootstrap configuration from the platform's file and the environment.
#pragma once
#include <string>

#include "proxy/bootstrap_config.h"
#include "transport/clock.h"

namespace headrouter {

/// Why the configuration is loaded. At a reload the discovery address is taken from the file, because the
/// environment is fixed when the process starts and cannot reflect a changed address.
enum class LoadReason { start, reload };

/// Reads the file at `path`. PROXY_NAME, PROXY_LISTEN, PROXY_OPS and, at a start, PROXY_DISCOVERY replace the
/// file's values if they are set and not empty. TMPDIR, if set, becomes the runtime folder. Throws
/// ConfigError with the path.
[[nodiscard]] BootstrapConfig load_bootstrap_config(const std::string& path, const Clock& clock, LoadReason);

/// Returns the value of PROXY_CONFIG. Throws ConfigError if it is not set or empty.
[[nodiscard]] std::string bootstrap_path_from_environment();

}  // namespace headrouter
