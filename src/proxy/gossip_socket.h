/// Gossip between balancers, one UDP datagram for each message. The policy tolerates messages that are lost,
/// duplicated or late.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "admin/counters.h"
#include "router/gossip_interface.h"
#include "transport/event_watcher.h"
#include "transport/socket.h"

namespace headrouter {

/// Sends gossip to the configured addresses and receives it from them only. The size, number and rate of
/// messages are limited in both directions. Used on the event loop's thread.
class GossipSocket : public GossipInterface {
   public:
    GossipSocket(struct ev_loop*, Counters&);
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;
    ~GossipSocket() override = default;

    void set_event_handler(GossipEvents& events) { events_ = &events; }

    /// Binds to this balancer's own address, `addresses[own_index]`. Throws std::system_error if that fails;
    /// a socket that was open before then stays open.
    void open(const std::vector<Address>& addresses, int own_index);
    void close();
    bool is_open() const { return static_cast<bool>(fd_); }

    /// Sends `bytes` to the replica with index `replica_index`, or to all others if that is
    /// all_other_replicas. Sends nothing while the socket is closed.
    void publish(int replica_index, std::string_view bytes) override;

   private:
    /// Limits the rate of messages with a token bucket.
    struct RateLimit {
        double tokens = 0;
        /// Takes one token; returns false if there is none.
        [[nodiscard]] bool take();
    };

    void bind_to(const Address&);
    void receive();
    void receive_from(const sockaddr_storage& sender, std::string_view bytes);
    void send_to(int replica_index, std::string_view bytes);
    void refill();
    double max_tokens() const;

    Counters& counters_;
    GossipEvents* events_ = nullptr;
    Fd fd_;
    IoWatcher watcher_;  // declared after fd_, so that it stops before the descriptor is closed
    std::vector<Address> addresses_;
    int own_index_ = -1;  // index into addresses_; negative while closed
    RateLimit outgoing_;
    RateLimit incoming_;
    TimePoint refilled_at_;
};

}  // namespace headrouter
