/// Puts relays into the paths that a run's faults affect: from balancers to servers and from clients to
/// balancers.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testbed/event_loop_thread.h"
#include "testbed/fleet_context.h"
#include "testbed/relay.h"

namespace headrouter::testbed {

/// Routes only the pairs that some injection affects through a relay; pairs to the same target that the same
/// injections affect share one.
class FaultyPaths {
   public:
    /// Holds the address a balancer listens at and that of the relay to it.
    struct BalancerAddresses {
        std::string listen;
        std::string relay;
    };
    /// `server_hosts`: the host of each server, without a port. `context` must outlive it.
    FaultyPaths(FleetContext& context, const std::vector<BalancerAddresses>& balancers,
                const std::vector<std::string>& server_hosts);
    ~FaultyPaths() { thread_.end(); }
    FaultyPaths(const FaultyPaths&) = delete;
    FaultyPaths& operator=(const FaultyPaths&) = delete;

    /// Returns the address by which the balancer reaches the server: the server's own, or a relay's.
    const std::string& server_address(int balancer, int server) const;
    /// Returns the relay addresses of the balancers that clients have to reach through a relay, by balancer.
    const std::map<int, std::string>& client_relays() const { return client_relays_; }

    void run() { thread_.run(); }
    /// Schedules the faults, with times counted from `start`.
    void begin(TimePoint start);
    void end() { thread_.end(); }
    EventLoopThread& thread() { return thread_; }

   private:
    struct Path {
        std::vector<size_t> injections;  // indexes
        std::unique_ptr<Relay> relay;
        std::string address;
    };

    void add_client_paths(const std::vector<BalancerAddresses>&);
    void add_server_paths(const std::vector<std::string>& server_hosts);
    size_t add(std::vector<size_t> injections, const std::string& address, const std::string& target);
    std::vector<size_t> injections_between(int balancer, int server) const;
    void schedule(size_t index);
    void play(size_t index);
    void blame(const scenario::FaultInjection&, bool is_at_fault);
    void apply_faults(const Path&, TimePoint now) const;

    FleetContext& context_;
    EventLoopThread thread_;
    std::vector<Path> paths_;
    std::map<std::pair<std::vector<size_t>, int>, size_t> server_paths_;  // by injections and server
    std::map<int, std::string> client_relays_;
};

}  // namespace headrouter::testbed
