#include "simulator/action_writer.h"

#include <array>
#include <cstdio>

namespace headrouter {

namespace {

constexpr unsigned char first_printable = 0x20;

std::string escaped_control(char c) {
    std::array<char, 8> code{};
    std::snprintf(code.data(), code.size(), "\\u%04x", static_cast<unsigned>(c));
    return code.data();
}

std::string quoted(const std::string& text) {
    std::string result(1, '"');
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result += '\\';
            result += c;
        } else if (static_cast<unsigned char>(c) < first_printable) {
            result += escaped_control(c);
        } else {
            result += c;
        }
    }
    return result + '"';
}

}  // namespace

void ActionWriter::begin(const char* action) {
    reply_ += R"({")";
    reply_ += action;
    reply_ += R"(":{"i":)";
    reply_ += std::to_string(instance_);
}

void ActionWriter::add_literal(const char* key, const std::string& literal) {
    reply_ += R"(,")";
    reply_ += key;
    reply_ += R"(":)";
    reply_ += literal;
}

void ActionWriter::add_text(const char* key, const std::string& text) { add_literal(key, quoted(text)); }

void ActionWriter::add_request(RequestId request) { add_literal("ref", std::to_string(request)); }

void ActionWriter::end() { reply_ += "}}\n"; }

void ActionWriter::start_attempt(RequestId request, const ServerId& server, Duration timeout) {
    begin("Assign");
    add_request(request);
    add_text("server", server);
    add_literal("patienceNs", std::to_string(timeout.ns));
    end();
}

void ActionWriter::reject(RequestId request, Duration retry_after) {
    begin("Reject");
    add_request(request);
    if (retry_after.ns > 0) add_literal("stayAwayNs", std::to_string(retry_after.ns));
    end();
}

void ActionWriter::fail(RequestId request) {
    begin("FinishError");
    add_request(request);
    end();
}

void ActionWriter::migrate(RequestId request) {
    begin("Rebalance");
    add_request(request);
    end();
}

void ActionWriter::set_timer(TimePoint at, uint64_t token) {
    begin("Arm");
    add_literal("timeNs", std::to_string(at.ns));
    add_literal("cookie", std::to_string(token));
    end();
}

void ActionWriter::watch_endpoints() {
    begin("Subscribe");
    add_literal("active", "true");
    end();
}

void ActionWriter::send_gossip(int slot, const std::string& bytes) {
    begin("Publish");
    add_literal("whom", std::to_string(slot));
    add_text("contents", bytes);
    end();
}

}  // namespace headrouter
