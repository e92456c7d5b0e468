#include "testbed/relay.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace headrouter::testbed {

namespace {
constexpr size_t most_held = size_t{256} * 1024, piece = size_t{16} * 1024;
constexpr Duration throttle_step = millis(5);
}  // namespace

Relay::Relay(TimerQueue& timers, std::string at, const std::string& to)
    : timers_(timers),
      to_(*Address::from(to)),
      acceptor_(timers.loop(), std::move(at), [this](Fd fd) { taken(std::move(fd)); }) {}

Relay::~Relay() {
    *alive_ = false;
    for (auto& link : links_) {
        ev_io_stop(timers_.loop(), &link->near_io);
        ev_io_stop(timers_.loop(), &link->far_io);
    }
}

Relay::Link* Relay::find(uint64_t id) {
    for (auto& link : links_)
        if (link->id == id) return link.get();
    return nullptr;
}

void Relay::taken(Fd fd) {
    auto link = std::make_unique<Link>();
    link->id = ++last_;
    link->relay = this;
    link->near = std::move(fd);
    link->far = connect_to(to_);
    if (!link->far) return reset_on_close(link->near.get());
    ev_io_init(
        &link->near_io,
        [](struct ev_loop*, ev_io* w, int events) {
            auto* l = static_cast<Link*>(w->data);
            l->relay->ready(*l, true, events);
        },
        link->near.get(), 0);
    ev_io_init(
        &link->far_io,
        [](struct ev_loop*, ev_io* w, int events) {
            auto* l = static_cast<Link*>(w->data);
            l->relay->ready(*l, false, events);
        },
        link->far.get(), 0);
    link->near_io.data = link->far_io.data = link.get();
    links_.push_back(std::move(link));
    watch(*links_.back());
}

void Relay::watch(Link& l) {
    ev_io_stop(timers_.loop(), &l.near_io);
    ev_io_stop(timers_.loop(), &l.far_io);
    const bool reads_near = !l.to_far.ended && l.to_far.bytes < most_held;
    const bool reads_far = !l.connecting && !l.to_near.ended && l.to_near.bytes < most_held;
    ev_io_set(&l.near_io, l.near.get(), reads_near ? EV_READ : 0);
    ev_io_set(&l.far_io, l.far.get(), (reads_far ? EV_READ : 0) | (l.connecting ? EV_WRITE : 0));
    if (reads_near) ev_io_start(timers_.loop(), &l.near_io);
    if (reads_far || l.connecting) ev_io_start(timers_.loop(), &l.far_io);
}

void Relay::ready(Link& l, bool near_side, int events) {
    const uint64_t id = l.id;
    if (!near_side && l.connecting) {
        if (pending_error(l.far.get()) != 0) return end(id, true);
        l.connecting = false;
    } else if (events & EV_READ) {
        read_from(l, near_side);
    }
    if (Link* still = find(id)) pump(*still);
}

void Relay::read_from(Link& l, bool near_side) {
    Way& way = near_side ? l.to_far : l.to_near;
    char bytes[piece];
    const ssize_t n = recv((near_side ? l.near : l.far).get(), bytes, sizeof bytes, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n < 0) return end(l.id, true);
    if (n == 0) return void(way.ended = true);
    if (!near_side && fault_.half_open) return;  // lost on the way
    way.held.emplace_back(timers_.now() + fault_.delay, std::string(bytes, static_cast<size_t>(n)));
    way.bytes += static_cast<size_t>(n);
}

// Returns true if more can be sent later without new bytes arriving.
bool Relay::pump_way(Link& l, Way& way, Fd& to, bool to_near) {
    const TimePoint now = timers_.now();
    while (!way.held.empty()) {
        auto& [from, bytes] = way.held.front();
        if (fault_.stalled) return false;
        if (from > now || way.free_from > now) return true;
        size_t most = bytes.size();
        if (fault_.bytes_a_second > 0)
            most = std::clamp<size_t>(static_cast<size_t>(fault_.bytes_a_second * to_seconds(throttle_step)),
                                      1, most);
        if (to_near && fault_.cut_after >= 0) most = std::min(most, static_cast<size_t>(fault_.cut_after));
        const ssize_t n = most == 0 ? 0 : ::send(to.get(), bytes.data(), most, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EAGAIN || errno == EINTR) return true;
            end(l.id, true);
            return false;
        }
        passed_ += static_cast<uint64_t>(n);
        way.bytes -= static_cast<size_t>(n);
        bytes.erase(0, static_cast<size_t>(n));
        if (to_near && fault_.cut_after >= 0 && (fault_.cut_after -= n) <= 0) {
            end(l.id, false);
            return false;
        }
        if (fault_.bytes_a_second > 0)
            way.free_from = now + seconds(static_cast<double>(n) / fault_.bytes_a_second);
        if (bytes.empty()) way.held.pop_front();
    }
    if (way.ended && !way.told_end && !(to_near ? false : fault_.half_open)) {
        way.told_end = true;
        shutdown(to.get(), SHUT_WR);
    }
    return false;
}

void Relay::pump(Link& l) {
    const uint64_t id = l.id;
    bool is_reconnect = !l.connecting && pump_way(l, l.to_far, l.far, false);
    if (!find(id)) return;
    is_reconnect = pump_way(l, l.to_near, l.near, true) || is_reconnect;
    if (!find(id)) return;
    if (l.to_far.told_end && l.to_near.told_end) return end(id, false);
    watch(l);
    if (!is_reconnect || l.waits) return;
    l.waits = true;
    timers_.in(millis(1), [this, id, alive = alive_] {
        Link* still = *alive ? find(id) : nullptr;
        if (!still) return;
        still->waits = false;
        pump(*still);
    });
}

void Relay::end(uint64_t id, bool reset) {
    const auto it = std::find_if(links_.begin(), links_.end(), [&](const auto& l) { return l->id == id; });
    if (it == links_.end()) return;
    Link& l = **it;
    ev_io_stop(timers_.loop(), &l.near_io);
    ev_io_stop(timers_.loop(), &l.far_io);
    if (reset) reset_on_close(l.near.get()), reset_on_close(l.far.get());
    links_.erase(it);
}

void Relay::set(const Fault& fault) {
    fault_ = fault;
    std::vector<uint64_t> all;
    for (const auto& link : links_) all.push_back(link->id);
    for (const uint64_t id : all)
        if (Link* link = find(id)) pump(*link);
}

void Relay::reset_all() {
    while (!links_.empty()) end(links_.front()->id, true);
}

void Relay::at(TimePoint when, Fault fault) {
    timers_.at(when, [this, fault, alive = alive_] {
        if (*alive) set(fault);
    });
}

}  // namespace headrouter::testbed
