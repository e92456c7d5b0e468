/// Limits the open descriptors of this process, and the share of them for clients without a request.
#pragma once
#include <algorithm>
#include <cstddef>

#include "transport/socket.h"

namespace headrouter {

/// Compares the open descriptors of the process with a configured maximum.
class DescriptorLimit {
   public:
    explicit DescriptorLimit(int max_open) : max_open_(max_open) {}

    void set(int max_open) { max_open_ = max_open; }

    /// Returns whether `count` more descriptors may be opened.
    bool allows(int count) const { return FileDescriptor::open_count() + count <= max_open_; }

    /// Returns the maximum number of clients without a request, which is also the maximum number of
    /// connections that linger after their last line. The rest is reserved for requests, which usually need
    /// two descriptors.
    size_t max_idle_clients() const { return static_cast<size_t>(std::max(1, max_open_ / idle_divisor)); }

   private:
    static constexpr int idle_divisor = 8;
    int max_open_;
};

}  // namespace headrouter
