/// Limits on the file descriptors and the memory that a balancer may use.
#pragma once
#include <cstddef>
#include <optional>

#include "admin/counters.h"
#include "proxy/bootstrap_config.h"

namespace headrouter {

/// Holds the limits of this process and checks them. After a hot restart, descriptors that the previous
/// process still holds count against the limit, since both processes share one limit.
class ResourceLimits {
   public:
    explicit ResourceLimits(const BootstrapConfig& config) { configure(config); }

    void configure(const BootstrapConfig&);
    void set_held_by_previous_process(int descriptors) { held_by_previous_process_ = descriptors; }

    /// Returns the descriptor limit that this process and the previous one share.
    int descriptors() const { return descriptors_; }
    /// Returns the part of the descriptor limit that is left for this process.
    int available_descriptors() const { return descriptors_ - held_by_previous_process_; }

    /// Returns the counter for the resource that does not suffice for another request; none if all suffice.
    std::optional<Counter> shortage() const;

    /// Descriptors that one request uses. To accept a request, these and the reserve must be free.
    static constexpr int descriptors_per_request = 2;
    /// Descriptors reserved for discovery, the listener, the log and clients that are only answered BUSY.
    static constexpr int reserved_descriptors = 32;

   private:
    int descriptors_ = 0;
    int held_by_previous_process_ = 0;
    size_t max_memory_mb_ = 0;
};

}  // namespace headrouter
