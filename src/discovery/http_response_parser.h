/// Parses HTTP/1.1 responses incrementally, as their bytes arrive. No I/O.
#pragma once
#include <http_parser.h>

#include <string>
#include <string_view>

#include "base/time.h"

namespace headrouter {

/// Holds the parts of a response that discovery needs.
struct HttpResponse {
    unsigned status = 0;
    std::string body;
    Duration retry_after;      ///< from the Retry-After header in seconds; zero if missing or a date
    bool keeps_alive = false;  ///< whether the connection can be used for another request
};

/// Parses one response at a time.
class HttpResponseParser {
   public:
    enum class Progress { incomplete, complete, malformed };

    HttpResponseParser();
    ~HttpResponseParser() = default;
    HttpResponseParser(const HttpResponseParser&) = delete;  // parser_ holds a pointer to this object
    HttpResponseParser& operator=(const HttpResponseParser&) = delete;

    /// Discards all bytes so far: the next bytes begin a new response.
    void reset();

    /// Parses the next bytes. An empty `bytes` is the end of the connection, which completes a response
    /// without a Content-Length. Bytes after a complete response are ignored.
    [[nodiscard]] Progress feed(std::string_view bytes);

    /// Returns the response; to be called after feed() has returned complete.
    [[nodiscard]] HttpResponse take_response();

   private:
    static const http_parser_settings& callbacks();
    static HttpResponseParser& self(http_parser* parser);
    int on_header_name(std::string_view piece);
    int on_header_value(std::string_view piece);
    int on_body(std::string_view piece);
    int on_complete();

    http_parser parser_{};
    std::string body_;
    std::string header_name_;  // of the header that is being parsed
    std::string retry_after_;
    bool is_in_header_value_ = false;
    bool is_complete_ = false;
};

}  // namespace headrouter
