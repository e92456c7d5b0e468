/// Numbers the servers known to one balancer.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <type_traits>

namespace headrouter {

/// Identifies a server at this balancer. Servers are numbered in the order in which endpoint lists first
/// named them and never removed, so an index stays valid for the life of the process. Indexes differ between
/// balancers, so messages identify servers by id. "No server" is an empty std::optional<ServerIndex>.
class ServerIndex {
   public:
    /// Creates the first server's index; for containers, which overwrite it.
    constexpr ServerIndex() = default;
    template <class Integer>
    requires std::is_integral_v<Integer>
    constexpr explicit ServerIndex(Integer value) : value_(static_cast<uint32_t>(value)) {}

    [[nodiscard]] constexpr size_t value() const { return value_; }
    [[nodiscard]] constexpr int to_int() const { return static_cast<int>(value_); }

    // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted <=>, clang-tidy 14.
    constexpr auto operator<=>(const ServerIndex&) const = default;

   private:
    uint32_t value_ = 0;
};

/// Iterates over the indexes of the first `count` servers, for a range-based for.
class ServerIndexRange {
   public:
    class Iterator {
       public:
        constexpr explicit Iterator(size_t at) : at_(at) {}
        constexpr ServerIndex operator*() const { return ServerIndex{at_}; }
        constexpr Iterator& operator++() {
            ++at_;
            return *this;
        }
        constexpr bool operator==(const Iterator& other) const { return at_ == other.at_; }
        constexpr bool operator!=(const Iterator& other) const { return at_ != other.at_; }

       private:
        size_t at_;
    };

    constexpr explicit ServerIndexRange(size_t count) : count_(count) {}
    [[nodiscard]] static constexpr Iterator begin() { return Iterator{0}; }
    [[nodiscard]] constexpr Iterator end() const { return Iterator{count_}; }

   private:
    size_t count_;
};

}  // namespace headrouter

template <>
struct std::hash<headrouter::ServerIndex> {
    size_t operator()(headrouter::ServerIndex server) const noexcept { return server.value(); }
};
