// Reserves loopback addresses, from 127.X.Y.1 upwards, for one test bed. The kernel releases the lock on a
// block when the process ends, so two test beds that run at the same time never share addresses.
#pragma once
#include <string>
#include <vector>

#include "transport/socket.h"

namespace headrouter::testbed {

class AddressBlock {
   public:
    explicit AddressBlock(int hosts);  // throws std::runtime_error if no block is free
    std::string host(int n) const;     // 0 <= n < the `hosts` of the constructor

   private:
    struct Net {
        int x, y;
        Fd lock;
    };
    std::vector<Net> nets_;
};

// Raises this process's limit of open descriptors as far as the kernel permits and returns the limit.
int raise_descriptors();

}  // namespace headrouter::testbed
