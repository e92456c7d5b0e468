#include "proxy/resource_limits.h"

#include <sys/resource.h>

#include <algorithm>

#include "transport/line_connection.h"
#include "transport/socket.h"

namespace headrouter {

namespace {

constexpr size_t bytes_per_megabyte = size_t{1} << 20;
/// Data that waits to be sent may use a quarter of the memory limit.
constexpr size_t memory_limit_per_buffer_limit = 4;

/// Returns the smaller of the configured limit and the soft limit of the process.
int usable_descriptors(int configured) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
    const auto configured_limit = static_cast<rlim_t>(std::max(1, configured));
    return static_cast<int>(std::min(limit.rlim_cur, configured_limit));
}

}  // namespace

void ResourceLimits::configure(const BootstrapConfig& config) {
    descriptors_ = usable_descriptors(config.max_descriptors);
    max_memory_mb_ = config.max_memory_mb;
}

std::optional<Counter> ResourceLimits::shortage() const {
    const int needed = FileDescriptor::open_count() + descriptors_per_request + reserved_descriptors;
    if (needed > available_descriptors()) return Counter::refused_for_descriptors;
    const bool is_memory_limited = max_memory_mb_ > 0;
    const size_t max_buffered = max_memory_mb_ * bytes_per_megabyte / memory_limit_per_buffer_limit;
    if (is_memory_limited && LineConnection::total_buffered_bytes() > max_buffered)
        return Counter::refused_for_memory;
    return std::nullopt;
}

}  // namespace headrouter
