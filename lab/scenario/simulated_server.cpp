#include "scenario/simulated_server.h"

#include <algorithm>

namespace headrouter::scenario {

namespace {
// Longest step in which the backlog is computed, since the capacity of a cold server changes meanwhile.
constexpr Duration max_step = millis(100);
constexpr Duration max_backlog = seconds(20), base_message_delay = millis(1);
}  // namespace

SimulatedServer::SimulatedServer(const ServerKind& kind, const Scenario& w, uint64_t seed)
    : kind_(&kind),
      setup_work_(w.setup_work),
      overload_window_(w.overload_window),
      overload_multiple_(w.overload_multiple),
      group_load_(w.traffic.group_load * 1000),
      chance_(seed, 0x9e3779b97f4a7c15ULL),
      error_rate_(kind.error_rate),
      by_type_(w.traffic.types.size()) {}

double SimulatedServer::warmth(TimePoint now) const {
    if (!cold_ || kind_->slow_start_time.ns <= 0) return 1;
    return std::min(1.0,
                    kind_->cold_from + (1 - kind_->cold_from) * ((now - started_) / kind_->slow_start_time));
}

double SimulatedServer::capacity(TimePoint now) const {
    return kind_->cores * kind_->speed * 1e6 * speed_ * warmth(now);
}

void SimulatedServer::advance(TimePoint now) {
    while (now_ < now) {
        const Duration step = std::min(max_step, now - now_);
        const double s = to_seconds(step);
        now_ = now_ + step;
        if (!answers()) continue;
        const double can = capacity(now_);
        backlog_ = std::clamp(backlog_ + (asked() - can) * s, 0.0, to_seconds(max_backlog) * can);
        recent_setup_work_ *= std::max(0.0, 1 - step / overload_window_);
        if (cold_ && warmth(now_) >= 1) cold_ = false;
        const bool overloaded =
            cold_ && asked() + recent_setup_work_ / to_seconds(overload_window_) > overload_multiple_ * can;
        if (overloaded && !overloaded_) overloaded_since_ = now_;
        overloaded_ = overloaded;
        if (overloaded_ && now_ - overloaded_since_ >= overload_window_) {
            fell_ = true;  // stays down, whatever incident actions follow
            mode_ = Mode::dead;
            overloaded_ = false;
        }
    }
}

SimulatedServer::SetUp SimulatedServer::open(TimePoint now, uint64_t request, int type, double load,
                                             const std::string& group, Duration wait) {
    advance(now);
    using How = SetUp::How;
    if (mode_ == Mode::dead) return {How::refused, now};
    if (!answers()) return {How::silent, now};
    const bool at_connection_limit =
        kind_->most_connections > 0 && static_cast<int>(held_.size()) >= kind_->most_connections;
    if (mode_ == Mode::draining || full_ || at_connection_limit) return {How::busy, now + base_message_delay};
    backlog_ += static_cast<double>(setup_work_.ns) / 1000;
    recent_setup_work_ += static_cast<double>(setup_work_.ns) / 1000;
    const Duration takes = delay(now);
    if (takes > wait) {  // the balancer stops waiting first; the load was sent to this server all the same
        recent_setup_work_ += load * to_seconds(overload_window_);
        return {How::busy, now + wait};
    }
    if (error_rate_ > 0 && chance_.uniform() < error_rate_) return {How::error, now + takes};
    held_[request] = {load, type, group};
    asked_ += load;
    ++by_type_[type];
    if (!group.empty()) ++groups_[group];
    return {How::up, now + takes};
}

bool SimulatedServer::close(TimePoint now, uint64_t request) {
    advance(now);
    const auto it = held_.find(request);
    if (it == held_.end()) return false;
    asked_ -= it->second.load;
    --by_type_[it->second.type];
    if (!it->second.group.empty())
        if (const auto g = groups_.find(it->second.group); --g->second == 0) groups_.erase(g);
    held_.erase(it);
    if (held_.empty()) asked_ = 0;  // removes the rounding error of many sums
    return true;
}

void SimulatedServer::change_load(TimePoint now, uint64_t request, double load) {
    advance(now);
    const auto it = held_.find(request);
    if (it == held_.end()) return;
    asked_ += load - it->second.load;
    it->second.load = load;
}

void SimulatedServer::set_mode(TimePoint now, Mode mode) {
    advance(now);
    if (fell_) return;
    mode_ = mode;
    if (mode == Mode::dead) backlog_ = recent_setup_work_ = 0, overloaded_ = false;
}

void SimulatedServer::start_cold(TimePoint now) {
    advance(now);
    if (fell_) return;
    for (const uint64_t request : requests()) close(now, request);
    mode_ = Mode::running;
    cold_ = kind_->slow_start_time.ns > 0;
    started_ = now;
    backlog_ = recent_setup_work_ = 0;
    overloaded_ = false;
}

void SimulatedServer::set_speed(TimePoint now, double part) {
    advance(now);
    speed_ = part;
}

Duration SimulatedServer::delay(TimePoint now) {
    advance(now);
    return base_message_delay + seconds(backlog_ / capacity(now_));
}

std::vector<uint64_t> SimulatedServer::requests() const {
    std::vector<uint64_t> all;
    all.reserve(held_.size());
    for (const auto& entry : held_) all.push_back(entry.first);
    return all;
}

}  // namespace headrouter::scenario
