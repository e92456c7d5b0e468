/// Remembers which requests may have run, so that none of them runs again under the same id.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace headrouter {

/// Holds the ids on the wire of requests that have ended, the newest ones up to a limit. Clients use an id
/// once; one that comes again, after its client has left or at the next process of a hot restart, would run
/// twice.
class ExecutedRequestIds {
   public:
    /// Number of ids that are remembered, about 2 MB.
    static constexpr size_t max_ids = size_t{32} * 1024;

    using State = std::vector<uint64_t>;  ///< the oldest id first

    /// Adds an id of 16 hexadecimal digits, and drops the oldest one if there are too many.
    void add(std::string_view wire_id);

    bool contains(std::string_view wire_id) const;

    size_t size() const { return in_order_.size(); }
    State state() const { return {in_order_.begin(), in_order_.end()}; }
    void restore(const State& state);

   private:
    void add(uint64_t id);

    std::deque<uint64_t> in_order_;
    std::unordered_set<uint64_t> ids_;
};

}  // namespace headrouter
