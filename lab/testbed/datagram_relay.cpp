#include "testbed/datagram_relay.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace headrouter::testbed {

namespace {

constexpr size_t max_datagram_bytes = 2048;
constexpr int datagrams_per_wakeup = 64;
constexpr int receive_buffer_bytes = 1 << 20;  // holds datagrams while the test bed's thread is busy

uint64_t name_of(const sockaddr_storage& a) {
    const auto& in = reinterpret_cast<const sockaddr_in&>(a);
    return static_cast<uint64_t>(in.sin_addr.s_addr) << 16 | in.sin_port;
}

}  // namespace

DatagramRelay::DatagramRelay(TimerQueue& timers, const std::vector<Place>& places,
                             const std::vector<scenario::FaultInjection>& injections, uint64_t seed)
    : timers_(timers), links_(injections, static_cast<int>(places.size()), seed) {
    for (const Place& place : places) {
        auto relay = std::make_unique<Relay>();
        relay->all = this;
        relay->number = static_cast<int>(relays_.size());
        relay->own = *Address::from(place.own);
        const Address at = *Address::from(place.relay);
        relay->fd = Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        if (!relay->fd || bind(relay->fd.get(), reinterpret_cast<const sockaddr*>(&at.bytes), at.size) != 0)
            throw std::runtime_error("cannot receive datagrams at " + place.relay + ": " +
                                     std::strerror(errno));
        setsockopt(relay->fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof receive_buffer_bytes);
        senders_[name_of(relay->own.bytes)] = relay->number;
        ev_io_init(
            &relay->io,
            [](struct ev_loop*, ev_io* w, int) {
                const auto* r = static_cast<Relay*>(w->data);
                r->all->readable(r->number);
            },
            relay->fd.get(), EV_READ);
        relay->io.data = relay.get();
        ev_io_start(timers_.loop(), &relay->io);
        relays_.push_back(std::move(relay));
    }
}

DatagramRelay::~DatagramRelay() {
    *alive_ = false;
    for (auto& relay : relays_) ev_io_stop(timers_.loop(), &relay->io);
}

void DatagramRelay::readable(int to) {
    std::array<char, max_datagram_bytes> bytes{};
    for (int k = 0; k < datagrams_per_wakeup; ++k) {
        sockaddr_storage from{};
        socklen_t size = sizeof from;
        const ssize_t n = recvfrom(relays_[static_cast<size_t>(to)]->fd.get(), bytes.data(), bytes.size(), 0,
                                   reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            continue;  // error of an earlier datagram that nothing received
        if (n < 0) return;
        const auto sender = senders_.find(name_of(from));
        if (sender == senders_.end()) {
            ++counts_.foreign;
            continue;
        }
        const std::string_view text(bytes.data(), static_cast<size_t>(n));
        const TimePoint now = timers_.now();
        ++counts_.sent;
        counts_.bytes += text.size();
        if (seen_) seen_(now, sender->second, to, text);
        for (scenario::Links::Passed& p : links_.carry(now, sender->second, to, text)) {
            if (p.later.ns <= 0) {
                pass(sender->second, to, p.bytes);
                continue;
            }
            timers_.in(p.later, [this, alive = alive_, f = sender->second, to, b = std::move(p.bytes)] {
                if (*alive) pass(f, to, b);
            });
        }
    }
}

void DatagramRelay::pass(int from, int to, const std::string& bytes) {
    const Address& own = relays_[static_cast<size_t>(to)]->own;
    const ssize_t n = sendto(relays_[static_cast<size_t>(from)]->fd.get(), bytes.data(), bytes.size(),
                             MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&own.bytes), own.size);
    counts_.arrived += n >= 0;
}

}  // namespace headrouter::testbed
