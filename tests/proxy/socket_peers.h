/// Peers of the balancer in socket tests: ends of connections and datagram sockets that the test drives.
#pragma once
#include <ev.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <optional>
#include <string>

#include "policy_helpers.h"
#include "transport/clock.h"
#include "transport/socket.h"

/// The test's end of a connection.
struct Peer {
    FileDescriptor fd;
    std::string received;
    bool saw_fin = false;
    bool saw_reset = false;

    bool is_closed() const { return saw_fin || saw_reset; }
    /// Reads all bytes that have arrived.
    void read() {
        char bytes[65536];
        while (fd && !is_closed()) {
            const ssize_t count = recv(fd.get(), bytes, sizeof bytes, MSG_DONTWAIT);
            if (count > 0)
                received.append(bytes, static_cast<size_t>(count));
            else if (count == 0)
                saw_fin = true;
            else if (errno == EAGAIN)
                return;
            else
                saw_reset = true;
        }
    }
    void write(std::string_view bytes) const { ::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL); }
    void send_fin() const { shutdown(fd.get(), SHUT_WR); }
    void send_reset() {
        reset_on_close(fd.get());
        fd.close();
    }
};

/// An established request: the client and the connection to its server.
struct EstablishedRequest {
    Peer client;
    Peer server;
};

/// Returns the loopback address of a bound socket.
inline std::string address_of(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// Plays a replica: receives the gossip of the balancers and sends any datagram that the test chooses.
struct GossipPeer {
    FileDescriptor fd{::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    std::string address;
    GossipPeer() {
        const Address any = *Address::from("127.0.0.1:0");
        EXPECT_EQ(bind(fd.get(), reinterpret_cast<const sockaddr*>(&any.bytes), any.size), 0);
        address = address_of(fd.get());
    }
    void send_to(const std::string& receiver, const std::string& bytes) const {
        const Address to = *Address::from(receiver);
        sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to.bytes),
               to.size);
    }
    /// Returns the next datagram, or "" if none has arrived.
    std::string receive() const {
        char bytes[2048];
        const ssize_t count = recv(fd.get(), bytes, sizeof bytes, 0);
        return count > 0 ? std::string(bytes, static_cast<size_t>(count)) : std::string();
    }
};

/// Listens on a free loopback port.
struct Listener {
    FileDescriptor fd = listen_on(*Address::from("127.0.0.1:0"));
    std::string address = address_of(fd.get());
    /// Accepts the next connection, if one is queued.
    std::optional<Peer> try_accept() const {
        FileDescriptor accepted(::accept4(fd.get(), nullptr, nullptr, SOCK_CLOEXEC));
        if (!accepted) return std::nullopt;
        return Peer{std::move(accepted), {}};
    }
};

/// Fills the queue of a listener while it exists: a connection that is begun then comes up about one second
/// later, when the kernel repeats its first packet, or never.
class FullBacklog {
   public:
    explicit FullBacklog(const Listener& listener) : listener_(listener) {
        listen(listener_.fd.get(), 0);
        filler_ = connect_to(*Address::from(listener_.address));
        EXPECT_TRUE(filler_);
    }
    FullBacklog(const FullBacklog&) = delete;
    FullBacklog& operator=(const FullBacklog&) = delete;
    ~FullBacklog() {
        listen(listener_.fd.get(), 128);
        listener_.try_accept();  // the filler's connection
    }

   private:
    const Listener& listener_;
    FileDescriptor filler_;
};

/// Returns an address for a balancer to listen at. Its port was free a moment ago, and no other process uses
/// its loopback host, which is derived from this process's id.
inline std::string unused_address() {
    const std::string address = Listener{}.address;
    const auto host = std::to_string(getpid() >> 8 & 255) + "." + std::to_string(getpid() & 255);
    return "127.77." + host + address.substr(address.find(':'));
}

inline Peer connect_peer(const std::string& address) { return {connect_to(*Address::from(address)), {}}; }

/// Runs an event loop and checks expectations of peers meanwhile.
struct EventLoopFixture {
    struct ev_loop* loop = ev_loop_new(0);
    EventLoopFixture() = default;
    EventLoopFixture(const EventLoopFixture&) = delete;
    EventLoopFixture& operator=(const EventLoopFixture&) = delete;
    ~EventLoopFixture() { ev_loop_destroy(loop); }

    /// Runs the loop until `condition` returns true, for at most two seconds. Returns whether it did.
    bool run_until(const std::function<bool()>& condition) const {
        const TimePoint end = Clock::now() + seconds(2);
        bool is_met = condition();
        while (!is_met && Clock::now() < end) {
            ev_run(loop, EVRUN_NOWAIT);
            usleep(500);
            is_met = condition();
        }
        return is_met;
    }
    /// Runs the loop for `duration`, at most two seconds.
    void run_for(Duration duration) const {
        const TimePoint end = Clock::now() + duration;
        run_until([&] { return Clock::now() >= end; });
    }
    /// Succeeds if `peer` receives `text` within two seconds.
    testing::AssertionResult receives(Peer& peer, const std::string& text) const {
        const bool has_text = run_until([&] {
            peer.read();
            return peer.received.find(text) != std::string::npos;
        });
        if (has_text) return testing::AssertionSuccess();
        return testing::AssertionFailure()
               << "received \"" << peer.received << "\", expected \"" << text << '"';
    }
    /// Succeeds if the other side closes the connection of `peer` within two seconds.
    testing::AssertionResult sees_close(Peer& peer) const {
        const bool is_closed = run_until([&] {
            peer.read();
            return peer.is_closed();
        });
        if (is_closed) return testing::AssertionSuccess();
        return testing::AssertionFailure() << "still open, received \"" << peer.received << '"';
    }
    /// Returns the next connection at `listener`; expects it within two seconds.
    Peer accept(const Listener& listener) const {
        std::optional<Peer> peer;
        run_until([&] {
            peer = listener.try_accept();
            return peer.has_value();
        });
        EXPECT_TRUE(peer.has_value()) << "no connection at " << listener.address;
        return std::move(peer).value_or(Peer{});
    }
};
