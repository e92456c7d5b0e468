// Points in time and spans between them, as two types so that neither can stand in for the other.
#pragma once
#include <compare>
#include <cstdint>

namespace headrouter {

struct Span {
    int64_t ns = 0;
    auto operator<=>(const Span&) const = default;
};

struct Instant {
    int64_t ns = 0;
    auto operator<=>(const Instant&) const = default;
};

constexpr Span millis(double ms) { return {static_cast<int64_t>(ms * 1e6)}; }
constexpr Span seconds(double s) { return {static_cast<int64_t>(s * 1e9)}; }
constexpr double in_seconds(Span s) { return static_cast<double>(s.ns) / 1e9; }

constexpr Span operator+(Span a, Span b) { return {a.ns + b.ns}; }
constexpr Span operator-(Span a, Span b) { return {a.ns - b.ns}; }
constexpr Span operator*(Span a, double k) { return {static_cast<int64_t>(static_cast<double>(a.ns) * k)}; }
constexpr double operator/(Span a, Span b) { return static_cast<double>(a.ns) / static_cast<double>(b.ns); }
constexpr Instant operator+(Instant t, Span s) { return {t.ns + s.ns}; }
constexpr Instant operator-(Instant t, Span s) { return {t.ns - s.ns}; }
constexpr Span operator-(Instant a, Instant b) { return {a.ns - b.ns}; }

}  // namespace headrouter
