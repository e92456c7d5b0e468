// FNV-1a over a text, its high bits folded in: alike at every balancer and in every build.
#pragma once
#include <cstdint>
#include <string_view>

namespace headrouter {

inline uint64_t hash_of(std::string_view text) {
    uint64_t h = 1469598103934665603ULL;
    for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return h ^ h >> 29;
}

}  // namespace headrouter
