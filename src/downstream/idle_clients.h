/// The clients that have not sent their request line yet, and how long they may take.
#pragma once
#include <cstddef>
#include <list>
#include <vector>

#include "base/time.h"
#include "downstream/client.h"
#include "policy/balancing_policy.h"

namespace headrouter {

/// Refers to clients, which must be removed before they are destroyed.
class IdleClients {
   public:
    /// What a client must have had at least before it may be evicted for another one.
    struct Grace {
        Duration for_first_byte;
        Duration for_whole_line;  ///< once its first byte has come
    };

    /// Adds the client that has been idle for the shortest time.
    void add(Client&);

    void remove(Client&);

    /// The client was active: it counts as idle from `now` on.
    void refresh(Client&, TimePoint now);

    /// The client to evict: the oldest that has sent nothing, or else the oldest that has begun its line;
    /// null where each is within its grace. One with unread bytes in the kernel is never chosen.
    Client* find_evictable(TimePoint now, const Grace&) const;

    /// Whether the client's time for its request line is over. What still waits in the kernel is not known
    /// here.
    static bool is_expired(const Client&, TimePoint now);

    /// Those of which `is_expired` holds, the oldest first.
    std::vector<RequestId> expired(TimePoint now) const;

    /// Those of which no byte has come, not even to the kernel, the oldest first.
    std::vector<RequestId> silent() const;

    /// All, the oldest first.
    std::vector<RequestId> ids() const;

    size_t size() const { return clients_.size(); }
    void clear() { clients_.clear(); }

   private:
    std::list<Client*> clients_;  // the oldest first
};

}  // namespace headrouter
