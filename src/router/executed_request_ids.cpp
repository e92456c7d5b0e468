#include "router/executed_request_ids.h"

#include <charconv>

namespace headrouter {

namespace {

constexpr int hexadecimal = 16;

uint64_t parse(std::string_view wire_id) {
    uint64_t id = 0;
    std::from_chars(wire_id.data(), wire_id.data() + wire_id.size(), id, hexadecimal);
    return id;
}

}  // namespace

void ExecutedRequestIds::add(std::string_view wire_id) { add(parse(wire_id)); }

void ExecutedRequestIds::add(uint64_t id) {
    const bool is_new = ids_.insert(id).second;
    if (!is_new) return;
    in_order_.push_back(id);
    if (in_order_.size() <= max_ids) return;
    ids_.erase(in_order_.front());
    in_order_.pop_front();
}

bool ExecutedRequestIds::contains(std::string_view wire_id) const { return ids_.contains(parse(wire_id)); }

void ExecutedRequestIds::restore(const State& state) {
    in_order_.clear();
    ids_.clear();
    for (const uint64_t id : state) add(id);
}

}  // namespace headrouter
