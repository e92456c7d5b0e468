/// Hashes numbers, with equal results at every balancer.
#pragma once
#include <cstdint>

namespace headrouter::fleet_load {

/// The finalizer of SplitMix64 (Steele et al., 2014).
constexpr uint64_t mix_bits(uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

}  // namespace headrouter::fleet_load
