/// \file
/// Serializes values to bytes. One function serves both directions: `visit(archive, value)` writes the value
/// to a ByteWriter or reads it from a ByteReader, so that the layout of each type is defined in one place.
///
/// A number takes eight bytes, least significant first; a flag or a one-byte enumerator takes one byte; a
/// string or a list is preceded by its length, in four bytes. A plain struct is visited field by field
/// through for_each_field(), a component through its state.
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

#include "base/server_index.h"
#include "base/time.h"

namespace headrouter::capture {

/// Appends bytes to a string, which must outlive the writer.
class ByteWriter {
   public:
    static constexpr bool writes = true;

    explicit ByteWriter(std::string& bytes) : bytes_(bytes) {}

    void raw(const void* from, size_t size) { bytes_.append(static_cast<const char*>(from), size); }

   private:
    std::string& bytes_;
};

/// Reads bytes that may be truncated or corrupt. Throws ParseErrors that name the offset.
class ByteReader {
   public:
    static constexpr bool writes = false;

    /// `name` describes the bytes in error messages. `bytes` and `name` must outlive the reader.
    ByteReader(std::string_view bytes, std::string_view name) : bytes_(bytes), name_(name) {}

    void raw(void* into, size_t size) {
        if (size > left()) throw_truncated(size);
        std::memcpy(into, bytes_.data() + offset_, size);
        offset_ += size;
    }

    /// Returns the number of bytes that have not been read yet.
    [[nodiscard]] size_t left() const { return bytes_.size() - offset_; }

    /// Throws if `value`, the byte read last, is neither 0 nor 1.
    void check_flag(uint8_t value) const;

    /// Throws if fewer than `count` bytes remain. Each element takes at least one byte, and callers allocate
    /// memory for `count` elements.
    void check_count(size_t count) const;

    /// Throws if unread bytes remain.
    void check_end() const;

   private:
    [[noreturn]] void throw_truncated(size_t size) const;
    [[nodiscard]] std::string describe_offset(size_t offset) const;

    std::string_view bytes_;
    std::string_view name_;
    size_t offset_ = 0;
};

/// An archive that receives plain values in place of their bytes, to record which fields a type has.
template <class Archive, class Value>
concept TakesPlainValues = requires(Archive& archive, Value& value) {
    archive.plain_value(value);
};

/// An archive that reads bytes that may be corrupt, and therefore checks counts.
template <class Archive>
concept ChecksCounts = requires(const Archive& archive, size_t count) {
    archive.check_count(count);
};

/// A visitor that accepts any field; used only to state the concept below.
struct AnyVisitor {
    template <class Field>
    void operator()(Field&&) const {}
};

/// A plain struct with a list of its fields: `for_each_field(value, visit)` calls `visit` with each of them,
/// in the order of their bytes.
template <class Struct>
concept HasFields = requires(Struct& value) {
    for_each_field(value, AnyVisitor{});
};

/// A component whose state can be exported and restored.
template <class Component>
concept HasState = requires(Component& component, typename Component::State state) {
    component.restore(std::move(state));
    state = component.state();
};

/// Returns whether more fields follow. Fields that were added to a layout later are at its end, which bytes
/// from older builds do not have. A writer always writes them.
template <class Archive>
bool has_more(const Archive& archive) {
    if constexpr (Archive::writes)
        return true;
    else
        return archive.left() > 0;
}

template <class Archive, class Value>
void visit_byte(Archive& archive, Value& value) {
    auto byte = static_cast<uint8_t>(value);
    archive.raw(&byte, sizeof byte);
    if constexpr (!Archive::writes) {
        if constexpr (std::is_same_v<Value, bool>) archive.check_flag(byte);
        value = static_cast<Value>(byte);
    }
}

template <class Archive, class Value>
void visit_number(Archive& archive, Value& value) {
    using Wide = std::conditional_t<std::is_floating_point_v<Value>, double, int64_t>;
    auto wide = static_cast<Wide>(value);
    archive.raw(&wide, sizeof wide);
    if constexpr (!Archive::writes) value = static_cast<Value>(wide);
}

template <class Archive, class Value>
requires std::is_arithmetic_v<Value> || std::is_enum_v<Value>
void visit(Archive& archive, Value& value) {
    if constexpr (TakesPlainValues<Archive, Value>)
        archive.plain_value(value);
    else if constexpr (sizeof(Value) == 1)
        visit_byte(archive, value);
    else
        visit_number(archive, value);
}

template <class Archive>
void visit(Archive& archive, Duration& duration) {
    visit(archive, duration.ns);
}

template <class Archive>
void visit(Archive& archive, TimePoint& time) {
    visit(archive, time.ns);
}

/// Writes `size`, the length of a string or list, or reads a length. Returns the number of elements that
/// follow.
template <class Archive>
size_t visit_size(Archive& archive, size_t size) {
    auto count = static_cast<uint32_t>(size);
    archive.raw(&count, sizeof count);
    if constexpr (ChecksCounts<Archive>) archive.check_count(count);
    return count;
}

template <class Archive>
void visit(Archive& archive, std::string& text) {
    const size_t size = visit_size(archive, text.size());
    if constexpr (!Archive::writes) text.resize(size);
    archive.raw(text.data(), size);
}

template <class Archive, class Value>
void visit(Archive& archive, std::optional<Value>& optional) {
    bool has_value = optional.has_value();
    visit(archive, has_value);
    if constexpr (!Archive::writes) {
        optional.reset();
        if (has_value) optional.emplace();
    }
    if (has_value) visit(archive, *optional);
}

/// Visits an optional number as a plain number, with -1 for none. Any other negative integer is read as none
/// too.
template <class Archive, class Number>
void visit_negative_for_none(Archive& archive, std::optional<Number>& optional) {
    using Plain = std::conditional_t<std::is_floating_point_v<Number>, double, int64_t>;
    constexpr Plain none = -1;
    Plain plain = none;
    if constexpr (std::is_same_v<Number, ServerIndex>) {
        if (optional) plain = optional->to_int();
    } else {
        if (optional) plain = static_cast<Plain>(*optional);
    }
    visit(archive, plain);
    if constexpr (!Archive::writes) {
        const bool is_none = std::is_floating_point_v<Number> ? plain == none : plain < 0;
        optional.reset();
        if (!is_none) optional = static_cast<Number>(plain);
    }
}

/// Marks a field that is visited by visit_negative_for_none().
template <class Number>
struct NegativeForNone {
    std::optional<Number>& value;
};

template <class Number>
NegativeForNone(std::optional<Number>&) -> NegativeForNone<Number>;

template <class Archive, class Number>
void visit(Archive& archive, NegativeForNone<Number>& optional) {
    visit_negative_for_none(archive, optional.value);
}

template <class Archive>
void visit(Archive& archive, ServerIndex& server) {
    int index = server.to_int();
    visit(archive, index);
    if constexpr (!Archive::writes) server = ServerIndex{index};
}

template <class Archive>
void visit(Archive& archive, std::optional<ServerIndex>& server) {
    visit_negative_for_none(archive, server);
}

template <class Archive, class First, class Second>
void visit(Archive& archive, std::pair<First, Second>& pair) {
    visit(archive, pair.first);
    visit(archive, pair.second);
}

template <class Archive, class Element, size_t size>
void visit(Archive& archive, std::array<Element, size>& elements) {
    for (Element& element : elements) visit(archive, element);
}

template <class Archive, class List>
void visit_list(Archive& archive, List& list) {
    const size_t count = visit_size(archive, list.size());
    if constexpr (Archive::writes) {
        for (auto& element : list) visit(archive, element);
    } else {
        // The list grows element by element, so that a corrupt count does not allocate more than the bytes
        // can hold.
        list.clear();
        for (size_t k = 0; k < count; ++k) visit(archive, list.emplace_back());
    }
}

template <class Archive, class Element>
void visit(Archive& archive, std::vector<Element>& list) {
    visit_list(archive, list);
}

template <class Archive, class Element>
void visit(Archive& archive, std::deque<Element>& list) {
    visit_list(archive, list);
}

/// Returns the keys in ascending order, so that equal tables give equal bytes regardless of the order of
/// insertions and removals.
template <class Table>
std::vector<typename Table::key_type> sorted_keys(const Table& table) {
    std::vector<typename Table::key_type> keys;
    keys.reserve(table.size());
    for (const auto& entry : table) keys.push_back(entry.first);
    std::sort(keys.begin(), keys.end());
    return keys;
}

template <class Archive, class Table>
void write_table(Archive& archive, Table& table) {
    for (auto& key : sorted_keys(table)) {
        visit(archive, key);
        visit(archive, table.at(key));
    }
}

template <class Archive, class Table>
void read_table(Archive& archive, Table& table, size_t count) {
    table.clear();
    for (size_t k = 0; k < count; ++k) {
        typename Table::key_type key{};
        visit(archive, key);
        visit(archive, table[key]);
    }
}

template <class Archive, class Table>
void visit_table(Archive& archive, Table& table) {
    const size_t count = visit_size(archive, table.size());
    if constexpr (Archive::writes)
        write_table(archive, table);
    else
        read_table(archive, table, count);
}

template <class Archive, class Key, class Value>
void visit(Archive& archive, std::map<Key, Value>& table) {
    visit_table(archive, table);
}

template <class Archive, class Key, class Value>
void visit(Archive& archive, std::unordered_map<Key, Value>& table) {
    visit_table(archive, table);
}

template <class Archive, HasFields Struct>
void visit(Archive& archive, Struct& value) {
    for_each_field(value, [&](auto&& field) { visit(archive, field); });
}

template <class Archive, HasState Component>
void visit(Archive& archive, Component& component) {
    typename Component::State state = component.state();
    visit(archive, state);
    if constexpr (!Archive::writes) component.restore(std::move(state));
}

}  // namespace headrouter::capture
