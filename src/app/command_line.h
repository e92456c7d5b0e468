/// The program's commands: serve, check, version, help.
#pragma once

namespace headrouter {

/// Runs the command that the arguments name. Returns the exit code: 0 for success, 1 if the configuration
/// cannot be used or a system call fails, 2 for wrong arguments. Errors go to standard error, requested
/// output goes to standard output.
int command_line(int argc, char** argv);

}  // namespace headrouter
