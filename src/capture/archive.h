// Bytes for plain values, out and in, by one function for both ways: whoever visits a field writes it with
// Out and reads it with In. Numbers are eight bytes, least first; texts and lists have their length before
// them. In throws ParseError at the end of the bytes and never makes room for more than they can hold.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/parse_error.h"
#include "base/server_index.h"
#include "base/time.h"

namespace headrouter::capture {

class Out {
   public:
    static constexpr bool writes = true;
    explicit Out(std::string& bytes) : bytes_(bytes) {}
    void raw(const void* from, size_t n) { bytes_.append(static_cast<const char*>(from), n); }

   private:
    std::string& bytes_;
};

class In {
   public:
    static constexpr bool writes = false;
    explicit In(std::string_view bytes) : bytes_(bytes) {}
    void raw(void* into, size_t n) {
        if (n > bytes_.size()) throw ParseError("the bytes end too early");
        std::memcpy(into, bytes_.data(), n);
        bytes_.remove_prefix(n);
    }
    size_t left() const { return bytes_.size(); }

   private:
    std::string_view bytes_;
};

/// An archive that takes plain values as they are, in place of their bytes: one that records which fields
/// there are.
template <class A, class T>
concept TakesPlainValues = requires(A& archive, T& value) {
    archive.plain_value(value);
};

template <class A, class T>
requires std::is_arithmetic_v<T> || std::is_enum_v<T>
void visit(A& a, T& value) {
    if constexpr (TakesPlainValues<A, T>) {
        a.plain_value(value);
    } else if constexpr (sizeof(T) == 1) {
        uint8_t byte = 0;
        if constexpr (A::writes) byte = static_cast<uint8_t>(value);
        a.raw(&byte, 1);
        if constexpr (!A::writes) {
            if (std::is_same_v<T, bool> && byte > 1) throw ParseError("a flag is neither 0 nor 1");
            value = static_cast<T>(byte);
        }
    } else if constexpr (std::is_floating_point_v<T>) {
        auto wide = static_cast<double>(value);
        a.raw(&wide, sizeof wide);
        if constexpr (!A::writes) value = static_cast<T>(wide);
    } else {
        auto wide = static_cast<int64_t>(value);
        a.raw(&wide, sizeof wide);
        if constexpr (!A::writes) value = static_cast<T>(wide);
    }
}

template <class A>
void visit(A& a, Duration& s) {
    visit(a, s.ns);
}
template <class A>
void visit(A& a, TimePoint& t) {
    visit(a, t.ns);
}

// How many follow; each takes a byte at the least.
template <class A>
size_t visit_size(A& a, size_t size) {
    auto n = static_cast<uint32_t>(size);
    a.raw(&n, sizeof n);
    if constexpr (!A::writes)
        if (n > a.left()) throw ParseError("a list is longer than the bytes that are left");
    return n;
}

template <class A>
void visit(A& a, std::string& text) {
    const size_t n = visit_size(a, text.size());
    if constexpr (!A::writes) text.resize(n);
    a.raw(text.data(), n);
}

template <class A, class T>
void visit(A& a, std::optional<T>& o) {
    bool has = o.has_value();
    visit(a, has);
    if constexpr (!A::writes) has ? void(o.emplace()) : o.reset();
    if (has) visit(a, *o);
}

template <class A>
void visit(A& a, ServerIndex& server) {
    int index = server.to_int();
    visit(a, index);
    if constexpr (!A::writes) server = ServerIndex{index};
}

/// A number that there may be none of, which the bytes hold as a plain number, -1 for none. Any other
/// negative integer is read as none too.
template <class A, class T>
void visit_negative_for_none(A& a, std::optional<T>& value) {
    using Plain = std::conditional_t<std::is_floating_point_v<T>, double, int64_t>;
    constexpr Plain none = -1;
    Plain plain = none;
    if constexpr (std::is_same_v<T, ServerIndex>) {
        if (value) plain = value->to_int();
    } else {
        if (value) plain = static_cast<Plain>(*value);
    }
    visit(a, plain);
    if constexpr (!A::writes) {
        const bool is_none = std::is_floating_point_v<T> ? plain == none : plain < 0;
        value.reset();
        if (!is_none) value = static_cast<T>(plain);
    }
}
template <class A>
void visit(A& a, std::optional<ServerIndex>& server) {
    visit_negative_for_none(a, server);
}

template <class A, class T, class U>
void visit(A& a, std::pair<T, U>& p) {
    visit(a, p.first);
    visit(a, p.second);
}

template <class A, class T, size_t n>
void visit(A& a, std::array<T, n>& all) {
    for (T& one : all) visit(a, one);
}

template <class A, class List>
void visit_list(A& a, List& all) {
    const size_t n = visit_size(a, all.size());
    if constexpr (A::writes)
        for (auto& one : all) visit(a, one);
    else {
        all.clear();
        for (size_t k = 0; k < n; ++k) visit(a, all.emplace_back());
    }
}
template <class A, class T>
void visit(A& a, std::vector<T>& all) {
    visit_list(a, all);
}
template <class A, class T>
void visit(A& a, std::deque<T>& all) {
    visit_list(a, all);
}

// In the order of the keys, so that the same table gives the same bytes whatever its history.
template <class A, class Table>
void visit_table(A& a, Table& table) {
    const size_t n = visit_size(a, table.size());
    if constexpr (A::writes) {
        std::vector<typename Table::key_type> keys;
        for (const auto& entry : table) keys.push_back(entry.first);
        std::sort(keys.begin(), keys.end());
        for (auto& key : keys) {
            visit(a, key);
            visit(a, table.at(key));
        }
    } else {
        table.clear();
        for (size_t k = 0; k < n; ++k) {
            typename Table::key_type key{};
            visit(a, key);
            visit(a, table[key]);
        }
    }
}
template <class A, class K, class V>
void visit(A& a, std::map<K, V>& table) {
    visit_table(a, table);
}
template <class A, class K, class V>
void visit(A& a, std::unordered_map<K, V>& table) {
    visit_table(a, table);
}

}  // namespace headrouter::capture
