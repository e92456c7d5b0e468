// Relays datagrams between balancers over links with scripted faults. There is one relay socket for each
// balancer: balancer i knows j by the relay's address R_j; a datagram that arrives at R_j from i is forwarded
// to j from R_i, so that each balancer receives from the peer addresses that its configuration names.
#pragma once
#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "scenario/links.h"
#include "testbed/timer_queue.h"
#include "transport/socket.h"

namespace headrouter::testbed {

class DatagramRelay {
   public:
    struct Place {
        std::string own, relay;  // the address balancer i sends from; the address the others send to
    };
    struct Counts {
        uint64_t sent = 0, bytes = 0, arrived = 0, foreign = 0;
    };
    // Throws std::runtime_error if a relay's address cannot be bound.
    DatagramRelay(TimerQueue&, const std::vector<Place>&, const std::vector<scenario::FaultInjection>&,
                  uint64_t seed);
    ~DatagramRelay();
    DatagramRelay(const DatagramRelay&) = delete;
    DatagramRelay& operator=(const DatagramRelay&) = delete;

    // Sets the observer of each datagram as it was sent, whether or not it is delivered.
    void watch_by(std::function<void(TimePoint, int from, int to, std::string_view)> seen) {
        seen_ = std::move(seen);
    }
    const Counts& counts() const { return counts_; }

   private:
    struct Relay {
        DatagramRelay* all = nullptr;
        int number = 0;
        Fd fd;
        ev_io io{};
        Address own;
    };
    void readable(int to);
    void pass(int from, int to, const std::string& bytes);

    TimerQueue& timers_;
    scenario::Links links_;
    std::vector<std::unique_ptr<Relay>> relays_;
    std::unordered_map<uint64_t, int> senders_;  // by address and port
    std::function<void(TimePoint, int, int, std::string_view)> seen_;
    Counts counts_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace headrouter::testbed
