/// The command `check`: prints a summary of a configuration.
#pragma once
#include <iosfwd>

#include "app/configuration.h"

namespace headrouter {

/// Prints a summary of the configuration to `out`.
void print_configuration(std::ostream& out, const Configuration&);

}  // namespace headrouter
