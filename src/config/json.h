/// Reads fields of JSON objects. Every function throws ParseError with the field's name if the field is
/// missing or has the wrong type; a field that is null counts as missing.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/parse_error.h"
#include "base/time.h"
#include "config/named_value.h"

namespace headrouter::json {

using Json = rapidjson::Value;

/// Returns the field's value; nullptr if the field is missing or null.
inline const Json* find(const Json& o, const char* name) {
    const auto it = o.FindMember(name);
    return it == o.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

/// Returns the name of a field as error messages show it.
inline std::string field_name(const std::string& name) { return "field '" + name + "'"; }

inline const Json& need(const Json& o, const char* name) {
    const Json* v = find(o, name);
    if (!v) throw ParseError(field_name(name), "is missing");
    return *v;
}

/// Throws ParseError for a field that is present but has an invalid value.
[[noreturn]] inline void wrong(const char* name, const char* expected) {
    throw ParseError(field_name(name), "has a wrong value", expected);
}

/// Returns a whole number that fits into 64 bits.
inline int64_t integer(const Json& o, const char* name) {
    const Json& v = need(o, name);
    if (!v.IsInt64()) wrong(name, "a whole number");
    return v.GetInt64();
}

/// Returns a whole number of at least 0.
inline int64_t natural(const Json& o, const char* name) {
    const int64_t n = integer(o, name);
    if (n < 0) wrong(name, "a whole number of at least 0");
    return n;
}

/// The largest number that small() accepts; sums of two such numbers do not overflow an int.
constexpr int64_t max_small = 1'000'000'000;

/// Returns a whole number from 0 to max_small.
inline int small(const Json& o, const char* name) {
    const int64_t n = integer(o, name);
    if (n < 0 || n > max_small) wrong(name, "a whole number from 0 to 1000000000");
    return static_cast<int>(n);
}

inline int small_or_zero(const Json& o, const char* name) { return find(o, name) ? small(o, name) : 0; }

inline double real(const Json& o, const char* name) {
    const Json& v = need(o, name);
    if (!v.IsNumber()) wrong(name, "a number");
    return v.GetDouble();
}

inline bool flag(const Json& o, const char* name) {
    const Json& v = need(o, name);
    if (!v.IsBool()) wrong(name, "true or false");
    return v.GetBool();
}

inline bool flag_or(const Json& o, const char* name, bool default_value) {
    return find(o, name) ? flag(o, name) : default_value;
}

inline std::string text(const Json& o, const char* name) {
    const Json& v = need(o, name);
    if (!v.IsString()) wrong(name, "a string");
    return {v.GetString(), v.GetStringLength()};
}

inline std::string text_or(const Json& o, const char* name, const char* default_value) {
    return find(o, name) ? text(o, name) : default_value;
}

/// Returns a duration that the field gives in nanoseconds.
inline Duration span(const Json& o, const char* name) { return {integer(o, name)}; }
inline Duration span_or_zero(const Json& o, const char* name) {
    return find(o, name) ? span(o, name) : Duration{};
}

inline const Json& object(const Json& o, const char* name) {
    const Json& v = need(o, name);
    if (!v.IsObject()) wrong(name, "an object");
    return v;
}

inline const Json& array(const Json& o, const char* name) {
    const Json& v = need(o, name);
    if (!v.IsArray()) wrong(name, "an array");
    return v;
}

/// Returns the value that `words` assigns to the field's string.
template <class Value>
Value one_of(const Json& o, const char* name,
             std::initializer_list<NamedValue<Value, std::string_view>> words) {
    const std::string word = text(o, name);
    std::string expected;
    for (const NamedValue<Value, std::string_view>& known : words) {
        if (word == known.name) return known.value;
        expected += expected.empty() ? "one of " : ", ";
        expected += known.name;
    }
    throw ParseError(field_name(name), "has the unknown value '" + word + "'", expected);
}

/// Parses one JSON text and validates its UTF-8. The parser is iterative, so deep nesting cannot overflow the
/// stack.
inline void parse(rapidjson::Document& doc, const std::string& line) {
    doc.Parse<rapidjson::kParseValidateEncodingFlag | rapidjson::kParseIterativeFlag>(line.data(),
                                                                                      line.size());
    if (doc.HasParseError())
        throw ParseError(std::string("not JSON: ") + rapidjson::GetParseError_En(doc.GetParseError()));
}

}  // namespace headrouter::json
