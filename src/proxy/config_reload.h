/// Rules on which settings a reload may change. No I/O.
#pragma once
#include "proxy/bootstrap_config.h"

namespace headrouter {

/// Throws ConfigError if `next` cannot replace the running configuration.
void check_reload(const BootstrapConfig& running, const BootstrapConfig& next);

/// Returns whether `next` changes a setting that only a restart can change: name, listen address or admin
/// address.
[[nodiscard]] bool changes_fixed_settings(const BootstrapConfig& running, const BootstrapConfig& next);

/// Returns `next` with the fixed settings of the running configuration.
[[nodiscard]] BootstrapConfig with_fixed_settings(const BootstrapConfig& running, BootstrapConfig next);

}  // namespace headrouter
