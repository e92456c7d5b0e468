/// The random number generator of all decisions: small, fast, and the same everywhere for the same seed.
#pragma once
#include <cstdint>

namespace headrouter {

/// Permuted congruential generator PCG-XSH-RR, with 64 bits of state and 32 of output (O'Neill, 2014,
/// pcg-random.org). Generators of the same seed and another `stream` give independent sequences.
class Pcg32 {
   public:
    struct State {
        uint64_t state = 0;
        uint64_t increment = 1;  ///< odd; different in each stream
    };

    explicit Pcg32(uint64_t seed, uint64_t stream = default_stream) {
        state_.increment = (stream << 1) | 1;
        next();
        state_.state += seed;
        next();
    }

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// The next 32 bits, uniformly distributed.
    uint32_t next() {
        constexpr uint64_t multiplier = 6364136223846793005ULL;  // Knuth's MMIX
        const uint64_t old = state_.state;
        state_.state = old * multiplier + state_.increment;
        const auto mixed = static_cast<uint32_t>(((old >> 18) ^ old) >> 27);
        const auto rotation = static_cast<uint32_t>(old >> 59);
        return (mixed >> rotation) | (mixed << ((32 - rotation) & 31));
    }

    /// The next number of the open interval (0, 1): never 0, so that its logarithm exists.
    double uniform() { return (next() + 0.5) / 4294967296.0; }

   private:
    static constexpr uint64_t default_stream = 0x5851f42d4c957f2dULL;
    State state_;
};

}  // namespace headrouter
