/// Holds a value or an error, for calls whose failure is ordinary; modelled on C++23's std::expected.
#pragma once
#include <type_traits>
#include <utility>
#include <variant>

namespace headrouter {

/// Holds either a `Value` or an `Error`, which must be different types. Reading the one not held throws
/// std::bad_variant_access.
template <class Value, class Error>
class [[nodiscard]] Result {
    static_assert(!std::is_same_v<Value, Error>);

   public:
    // NOLINTNEXTLINE(google-explicit-constructor): allows `return value;`
    Result(Value value) : content_(std::move(value)) {}
    // NOLINTNEXTLINE(google-explicit-constructor): allows `return error;`
    Result(Error error) : content_(std::move(error)) {}

    bool has_value() const { return std::holds_alternative<Value>(content_); }
    explicit operator bool() const { return has_value(); }

    Value& value() { return std::get<Value>(content_); }
    const Value& value() const { return std::get<Value>(content_); }
    Value& operator*() { return value(); }
    const Value& operator*() const { return value(); }
    Value* operator->() { return &value(); }
    const Value* operator->() const { return &value(); }

    const Error& error() const { return std::get<Error>(content_); }

   private:
    std::variant<Value, Error> content_;
};

}  // namespace headrouter
