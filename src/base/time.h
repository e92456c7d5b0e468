/// Defines points in time and durations, in nanoseconds, as two types that cannot be mixed up.
///
/// std::chrono does not replace them, because captures store them as they are and replayed decisions depend
/// on how the products and quotients below round.
#pragma once
#include <compare>
#include <cstdint>

namespace headrouter {

/// Holds a length of time; may be negative.
struct Duration {
    int64_t ns = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted <=>, clang-tidy 14.
    auto operator<=>(const Duration&) const = default;
};

/// Holds a time on the caller's clock, which need not be the wall clock. Zero often means "never".
struct TimePoint {
    int64_t ns = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): as above.
    auto operator<=>(const TimePoint&) const = default;
};

/// Truncates to whole nanoseconds.
[[nodiscard]] constexpr Duration millis(double ms) { return {static_cast<int64_t>(ms * 1e6)}; }
[[nodiscard]] constexpr Duration seconds(double s) { return {static_cast<int64_t>(s * 1e9)}; }
[[nodiscard]] constexpr double to_seconds(Duration s) { return static_cast<double>(s.ns) / 1e9; }

constexpr Duration operator+(Duration a, Duration b) { return {a.ns + b.ns}; }
constexpr Duration operator-(Duration a, Duration b) { return {a.ns - b.ns}; }
/// Truncates to whole nanoseconds.
constexpr Duration operator*(Duration a, double k) {
    return {static_cast<int64_t>(static_cast<double>(a.ns) * k)};
}
/// Returns the ratio of `a` to `b`, including the fraction.
constexpr double operator/(Duration a, Duration b) {
    return static_cast<double>(a.ns) / static_cast<double>(b.ns);
}
constexpr TimePoint operator+(TimePoint t, Duration s) { return {t.ns + s.ns}; }
constexpr TimePoint operator-(TimePoint t, Duration s) { return {t.ns - s.ns}; }
constexpr Duration operator-(TimePoint a, TimePoint b) { return {a.ns - b.ns}; }

}  // namespace headrouter
