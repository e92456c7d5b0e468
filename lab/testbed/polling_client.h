// Polls an address without blocking by sending one line until the expected answer arrives, to find out
// whether a process is ready.
#pragma once
#include <string>

#include "transport/socket.h"

namespace headrouter::testbed {

class PollingClient {
   public:
    // Returns true once the answer contains `wanted`.
    bool heard(const std::string& at, const std::string& line, const std::string& wanted);
    void close() { fd_.close(); }

   private:
    Fd fd_;
    std::string got_;
    bool said_ = false;
};

}  // namespace headrouter::testbed
