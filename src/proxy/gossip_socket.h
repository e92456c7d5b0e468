/// Gossip between balancers by single datagrams. A message may be lost, doubled or late, and the policy
/// allows for it.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "admin/counters.h"
#include "router/gossip_interface.h"
#include "transport/event_watcher.h"
#include "transport/socket.h"

namespace headrouter {

/// Sends to and receives from the configured addresses only; the size, number and rate of messages are
/// bounded both ways. On the loop's thread.
class GossipSocket : public GossipInterface {
   public:
    GossipSocket(struct ev_loop*, Counters&);
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;
    ~GossipSocket() override = default;

    void set_event_handler(GossipEvents& events) { events_ = &events; }

    /// Binds to the own address, the one at `own` of `addresses`. Throws std::system_error where that is
    /// impossible; what was open before stays open then.
    void open(const std::vector<Address>& addresses, int own);
    void close();
    bool is_open() const { return static_cast<bool>(fd_); }

    /// `slot`: the replica index of the receiver, or all_other_replicas. Nothing is sent while the socket is
    /// closed.
    void publish(int slot, std::string_view bytes) override;

   private:
    /// A token bucket of messages.
    struct RateLimit {
        double tokens = 0;
        [[nodiscard]] bool take();
    };

    void bind_to(const Address&);
    void receive();
    void receive_from(const sockaddr_storage& sender, std::string_view bytes);
    void send_to(int slot, std::string_view bytes);
    void refill();
    double max_tokens() const;

    Counters& counters_;
    GossipEvents* events_ = nullptr;
    Fd fd_;
    IoWatcher watcher_;  // after the descriptor, so that it stops before that is closed
    std::vector<Address> addresses_;
    int own_ = -1;  // index into addresses_; negative while closed
    RateLimit outgoing_;
    RateLimit incoming_;
    TimePoint refilled_at_;
};

}  // namespace headrouter
