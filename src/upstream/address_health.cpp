#include "upstream/address_health.h"

#include <algorithm>

namespace headrouter {

namespace {

// An address is silent only if it has sent nothing for longer than this.
constexpr Duration max_silence = seconds(0.7);
// Lines that have waited for a shorter time do not count as unanswered yet.
constexpr Duration min_unanswered_time = seconds(0.25);
// The number of unanswered attempts and failed connects, taken together, from which an address is silent: a
// single one may be a fault of that connection only.
constexpr int min_failures_for_silence = 2;

}  // namespace

void AddressHealthTable::remove_attempt(const std::string& address) {
    const auto found = addresses_.find(address);
    --found->second.attempts;
    if (found->second.attempts == 0) addresses_.erase(found);
}

void AddressHealthTable::on_received(const std::string& address, TimePoint now) {
    AddressHealth& health = addresses_.at(address);
    health.last_received = now;
    health.failed_connects = 0;
}

void AddressHealthTable::on_connect_timeout(const std::string& address) {
    ++addresses_.at(address).failed_connects;
}

void AddressHealthTable::begin_check(TimePoint now, Duration process_stall) {
    for (auto& [address, health] : addresses_) {
        health.last_received = health.last_received + process_stall;
        health.unanswered_attempts = 0;
        health.oldest_unanswered = now;
    }
}

void AddressHealthTable::count_unanswered(const std::string& address, TimePoint now,
                                          TimePoint unanswered_since) {
    AddressHealth& health = addresses_.at(address);
    if (now - unanswered_since > min_unanswered_time) ++health.unanswered_attempts;
    health.oldest_unanswered = std::min(health.oldest_unanswered, unanswered_since);
}

bool AddressHealthTable::is_silent(const std::string& address, TimePoint now) const {
    const AddressHealth& health = addresses_.at(address);
    if (health.unanswered_attempts == 0) return false;
    if (health.unanswered_attempts + health.failed_connects < min_failures_for_silence) return false;
    return now - health.last_received > max_silence && now - health.oldest_unanswered > max_silence;
}

}  // namespace headrouter
