#include "discovery/http_response_parser.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace headrouter {

namespace {

constexpr size_t max_body_bytes = 16 << 20;
// Longer header names and values are truncated: no header that is read has a longer one.
constexpr size_t max_header_bytes = 32;
// Results of the callbacks of http_parser.
constexpr int continue_parsing = 0;
constexpr int stop_with_error = 1;

void append_up_to_limit(std::string& out, std::string_view piece) {
    if (out.size() < max_header_bytes) out.append(piece.substr(0, std::min(piece.size(), max_header_bytes)));
}

/// Returns the delay of a Retry-After value in whole seconds, zero for any other value. A date is not used,
/// because it is only right if both clocks agree.
Duration parse_retry_after(const std::string& value) {
    unsigned whole_seconds = 0;
    const char* const last = value.data() + value.size();
    const auto [end, error] = std::from_chars(value.data(), last, whole_seconds);
    return error == std::errc() && end == last ? seconds(whole_seconds) : Duration{};
}

}  // namespace

HttpResponseParser::HttpResponseParser() { reset(); }

void HttpResponseParser::reset() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    body_.clear();
    header_name_.clear();
    retry_after_.clear();
    is_complete_ = false;
}

HttpResponseParser& HttpResponseParser::self(http_parser* parser) {
    return *static_cast<HttpResponseParser*>(parser->data);
}

const http_parser_settings& HttpResponseParser::callbacks() {
    static const http_parser_settings callbacks = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_header_field = [](http_parser* parser, const char* bytes, size_t size) {
            return self(parser).on_header_name({bytes, size});
        };
        settings.on_header_value = [](http_parser* parser, const char* bytes, size_t size) {
            return self(parser).on_header_value({bytes, size});
        };
        settings.on_body = [](http_parser* parser, const char* bytes, size_t size) {
            return self(parser).on_body({bytes, size});
        };
        settings.on_message_complete = [](http_parser* parser) { return self(parser).on_complete(); };
        return settings;
    }();
    return callbacks;
}

// http_parser passes a header's name in pieces, then its value in pieces. A piece of a name that follows a
// piece of a value begins the next header.
int HttpResponseParser::on_header_name(std::string_view piece) {
    if (is_in_header_value_) header_name_.clear();
    is_in_header_value_ = false;
    append_up_to_limit(header_name_, piece);
    return continue_parsing;
}

int HttpResponseParser::on_header_value(std::string_view piece) {
    is_in_header_value_ = true;
    if (strcasecmp(header_name_.c_str(), "retry-after") == 0) append_up_to_limit(retry_after_, piece);
    return continue_parsing;
}

int HttpResponseParser::on_body(std::string_view piece) {
    body_.append(piece);
    return body_.size() > max_body_bytes ? stop_with_error : continue_parsing;
}

int HttpResponseParser::on_complete() {
    is_complete_ = true;
    http_parser_pause(&parser_, 1);  // no request was sent for any following bytes
    return continue_parsing;
}

HttpResponseParser::Progress HttpResponseParser::feed(std::string_view bytes) {
    const size_t parsed = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    if (is_complete_) return Progress::complete;
    return parsed == bytes.size() ? Progress::incomplete : Progress::malformed;
}

HttpResponse HttpResponseParser::take_response() {
    HttpResponse response;
    response.status = parser_.status_code;
    response.body = std::exchange(body_, {});
    response.retry_after = parse_retry_after(retry_after_);
    response.keeps_alive = http_should_keep_alive(&parser_) != 0;
    return response;
}

}  // namespace headrouter
