#include "proxy/gossip_socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <string>
#include <system_error>
#include <utility>

#include "gossip/gossip_message.h"
#include "transport/clock.h"

namespace headrouter {

namespace {

/// Limits the messages read in one turn of the loop, so that other connections are served too.
constexpr int max_messages_per_turn = 64;
/// A balancer sends each peer at most a few messages a second; a higher rate does not come from a balancer.
constexpr double max_messages_per_second_per_peer = 20;

bool has_address(const Address& address, const sockaddr_storage& other) {
    if (address.bytes.ss_family != other.ss_family) return false;
    if (other.ss_family == AF_INET) {
        const auto& a = reinterpret_cast<const sockaddr_in&>(address.bytes);
        const auto& b = reinterpret_cast<const sockaddr_in&>(other);
        return a.sin_port == b.sin_port && a.sin_addr.s_addr == b.sin_addr.s_addr;
    }
    const auto& a = reinterpret_cast<const sockaddr_in6&>(address.bytes);
    const auto& b = reinterpret_cast<const sockaddr_in6&>(other);
    return a.sin6_port == b.sin6_port && std::memcmp(&a.sin6_addr, &b.sin6_addr, sizeof a.sin6_addr) == 0;
}

Fd bound_socket(const Address& address) {
    Fd fd(::socket(address.bytes.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const bool is_bound =
        fd && bind(fd.get(), reinterpret_cast<const sockaddr*>(&address.bytes), address.size) == 0;
    if (is_bound) return fd;
    const int error = errno;
    throw std::system_error(error, std::generic_category(),
                            "cannot bind the gossip socket to " + to_string(address));
}

}  // namespace

bool GossipSocket::RateLimit::take() {
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
}

GossipSocket::GossipSocket(struct ev_loop* loop, Counters& counters)
    : counters_(counters), watcher_(loop, [this](int) { receive(); }) {}

void GossipSocket::open(const std::vector<Address>& addresses, int own_index) {
    const Address& own_address = addresses[static_cast<size_t>(own_index)];
    const bool is_bound_already =
        is_open() && has_address(addresses_[static_cast<size_t>(own_index_)], own_address.bytes);
    if (!is_bound_already) bind_to(own_address);
    addresses_ = addresses;
    own_index_ = own_index;
    if (is_bound_already) return;
    refilled_at_ = Clock::now();
    outgoing_.tokens = max_tokens();
    incoming_.tokens = max_tokens();
}

void GossipSocket::bind_to(const Address& address) {
    Fd fd = bound_socket(address);
    close();
    fd_ = std::move(fd);
    watcher_.start(fd_.get(), EV_READ);
}

void GossipSocket::close() {
    watcher_.stop();
    fd_.close();
    own_index_ = -1;
}

double GossipSocket::max_tokens() const {
    return max_messages_per_second_per_peer * static_cast<double>(addresses_.size());
}

void GossipSocket::refill() {
    const TimePoint now = Clock::now();
    const double added = max_tokens() * to_seconds(now - refilled_at_);
    for (RateLimit* limit : {&outgoing_, &incoming_})
        limit->tokens = std::min(max_tokens(), limit->tokens + added);
    refilled_at_ = now;
}

void GossipSocket::publish(int replica_index, std::string_view bytes) {
    if (!is_open()) return;
    if (replica_index != all_other_replicas) {
        send_to(replica_index, bytes);
        return;
    }
    for (int k = 0; k < static_cast<int>(addresses_.size()); ++k)
        if (k != own_index_) send_to(k, bytes);
}

// A message is lost if the send buffer is full or the peer's host is down, as it may be lost in the network.
void GossipSocket::send_to(int replica_index, std::string_view bytes) {
    if (replica_index < 0 || replica_index >= static_cast<int>(addresses_.size())) {
        counters_.add(Counter::gossip_unsent);
        return;
    }
    const Address& to = addresses_[static_cast<size_t>(replica_index)];
    refill();
    const bool is_sent =
        outgoing_.take() && sendto(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                                   reinterpret_cast<const sockaddr*>(&to.bytes), to.size) >= 0;
    counters_.add(is_sent ? Counter::gossip_sent : Counter::gossip_unsent);
}

void GossipSocket::receive() {
    // One byte beyond the maximum message size makes longer datagrams detectable.
    std::array<char, gossip::max_message_bytes + 1> bytes{};
    for (int k = 0; k < max_messages_per_turn && is_open(); ++k) {
        sockaddr_storage sender{};
        socklen_t size = sizeof sender;
        const ssize_t received =
            recvfrom(fd_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&sender), &size);
        const bool is_queue_empty = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (is_queue_empty) return;
        // Any other error belongs to a message sent earlier to a port without a listener (ECONNREFUSED).
        if (received >= 0) receive_from(sender, {bytes.data(), static_cast<size_t>(received)});
    }
}

void GossipSocket::receive_from(const sockaddr_storage& sender, std::string_view bytes) {
    const auto found = std::find_if(addresses_.begin(), addresses_.end(),
                                    [&](const Address& address) { return has_address(address, sender); });
    const int sender_index = static_cast<int>(found - addresses_.begin());
    const bool is_peer = found != addresses_.end() && sender_index != own_index_;
    if (is_peer) refill();
    if (!is_peer || !incoming_.take()) {
        counters_.add(Counter::gossip_foreign);
    } else if (bytes.size() > gossip::max_message_bytes) {
        counters_.add(Counter::gossip_malformed);
    } else if (events_ != nullptr) {
        events_->on_gossip(sender_index, std::string(bytes));
    }
}

}  // namespace headrouter
