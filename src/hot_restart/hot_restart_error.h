/// \file
/// The exception for a hot restart that cannot continue.
#pragma once
#include <stdexcept>

namespace headrouter {

/// Reports that the other process is stuck, has exited, runs under another user or sent an invalid message.
/// what() names the cause, for the log. The two processes then serve side by side.
class HotRestartError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace headrouter
