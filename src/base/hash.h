/// Hashes strings for messages and for choices that must agree between balancers.
#pragma once
#include <cstdint>
#include <string_view>

namespace headrouter {

/// Returns the 64-bit FNV-1a hash (Fowler, Noll, Vo) with the high bits folded into the low ones, which most
/// callers keep. The result is the same in every build and on every host.
[[nodiscard]] constexpr uint64_t hash_of(std::string_view text) {
    constexpr uint64_t offset_basis =
        1469598103934665603ULL;  // FNV-1a's without its last digit; kept so that captures stay replayable
    constexpr uint64_t prime = 1099511628211ULL;
    uint64_t hash = offset_basis;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    return hash ^ hash >> 29;
}

}  // namespace headrouter
