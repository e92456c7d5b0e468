/// Generates the random numbers for all decisions: small, fast, and with the same sequence on every host.
#pragma once
#include <cstdint>

namespace headrouter {

/// Implements the permuted congruential generator PCG-XSH-RR: 64 bits of state, 32 of output (O'Neill, 2014,
/// pcg-random.org). Generators with equal seeds and different streams give independent sequences.
class Pcg32 {
   public:
    struct State {
        uint64_t state = 0;
        uint64_t increment = 1;  ///< odd; selects the stream
    };

    explicit Pcg32(uint64_t seed, uint64_t stream = default_stream) {
        state_.increment = (stream << 1) | 1;
        next();
        state_.state += seed;
        next();
    }

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Returns the next 32 uniformly distributed bits.
    uint32_t next() {
        constexpr uint64_t multiplier = 6364136223846793005ULL;  // Knuth's MMIX
        const uint64_t old = state_.state;
        state_.state = old * multiplier + state_.increment;
        const auto mixed = static_cast<uint32_t>(((old >> 18) ^ old) >> 27);
        const auto rotation = static_cast<uint32_t>(old >> 59);
        return (mixed >> rotation) | (mixed << ((32 - rotation) & 31));
    }

    /// Returns the next number in the open interval (0, 1): never 0, so that its logarithm is finite.
    double uniform() { return (next() + 0.5) / 4294967296.0; }

   private:
    static constexpr uint64_t default_stream = 0x5851f42d4c957f2dULL;
    State state_;
};

}  // namespace headrouter
