// Permuted congruential generator (PCG-XSH-RR, 64 bits of state, 32 of output).
#pragma once
#include <cstdint>

namespace headrouter {

struct StateAccess;

class Pcg32 {
   public:
    explicit Pcg32(uint64_t seed, uint64_t stream = 0x5851f42d4c957f2dULL) : step_((stream << 1) | 1) {
        next();
        state_ += seed;
        next();
    }

    uint32_t next() {
        const uint64_t old = state_;
        state_ = old * 6364136223846793005ULL + step_;
        const auto mixed = static_cast<uint32_t>(((old >> 18) ^ old) >> 27);
        const auto turn = static_cast<uint32_t>(old >> 59);
        return (mixed >> turn) | (mixed << ((32 - turn) & 31));
    }

    double uniform() { return (next() + 0.5) / 4294967296.0; }  // never 0, so that its logarithm exists

   private:
    friend struct StateAccess;  // of captures, which keep it as it is
    uint64_t state_ = 0;
    uint64_t step_;
};

}  // namespace headrouter
