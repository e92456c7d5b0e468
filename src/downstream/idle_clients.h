/// Tracks the clients that have not sent their request line yet, and finds those to evict or dismiss.
#pragma once
#include <cstddef>
#include <list>
#include <vector>

#include "base/time.h"
#include "downstream/client.h"
#include "policy/balancing_policy.h"

namespace headrouter {

/// Orders the clients without a request by the time for which they have been idle. Holds pointers: a client
/// must be removed before it is destroyed.
class IdleClients {
   public:
    /// The minimum idle time before a client may be evicted in favour of another one.
    struct Grace {
        Duration for_first_byte;  ///< while nothing of its line has arrived
        Duration for_whole_line;  ///< once its first byte has arrived
    };

    /// Adds a client, which must be the one that has been idle for the shortest time.
    void add(Client&);

    void remove(Client&);

    /// Restarts the idle time of a client that was active at `now`.
    void refresh(Client&, TimePoint now);

    /// Returns the client to evict: the longest idle one that has not begun a line, or else the longest idle
    /// one that has. Returns null if each is within its grace time. Never returns a client with unread bytes
    /// in the kernel.
    Client* find_evictable(TimePoint now, const Grace&) const;

    /// Returns whether the client's time limit for its request line is over. Does not consider bytes that are
    /// still unread in the kernel.
    static bool is_expired(const Client&, TimePoint now);

    /// Returns the clients for which `is_expired` is true, longest idle first.
    std::vector<RequestId> expired(TimePoint now) const;

    /// Returns the clients with neither a partial line nor unread bytes in the kernel, longest idle first.
    std::vector<RequestId> silent() const;

    /// Returns all clients, longest idle first.
    std::vector<RequestId> ids() const;

    size_t size() const { return clients_.size(); }
    void clear() { clients_.clear(); }

   private:
    std::list<Client*> clients_;  // longest idle first
};

}  // namespace headrouter
