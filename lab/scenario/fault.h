// Describes faults of balancer processes, of their connections and of the links between them. A Fault is an
// entry of an experiment; a FaultInjection adds the affected balancers and servers, drawn at random. The same
// seed gives the same injections in the model and on sockets. Parts are in [0, 1]; times count from the start
// of the run.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace headrouter::scenario {

enum class FaultKind {
    // Datagrams between balancers.
    drop,
    delay,
    repeat,
    reorder,
    spoil,
    split,  // no datagrams pass between the affected balancers and the others
    alone,  // an affected balancer exchanges datagrams with a few others only
    lie,    // affected balancers report false loads
    // testbed/fleet_context.cpp relies on the order within list_*, path_* and client_*.
    // The endpoint list as the affected balancers receive it.
    list_silent,
    list_garbled,
    list_late,
    list_back,
    list_old,     // changes arrive later by `span`
    list_hidden,  // the affected servers are missing from it
    // The connections of the affected balancers to the affected servers, and of clients to the affected
    // balancers.
    path_stall,
    path_slow,
    path_half_open,
    path_reset,
    client_stall,
    client_slow,
    client_reset,
    // Processes.
    stall,
    kill,
    leave,
    second,  // a second process starts beside the first and takes over from it
    reload,
    clock
};

enum class Way { both, out, in };  // direction, seen from the affected balancers: sent, received

struct Fault {
    FaultKind kind = FaultKind::drop;
    TimePoint at;
    Duration lasts;
    double part = 0.25, servers = 0.25;  // affected parts of the balancers and of the servers
    std::vector<int> numbers;            // of the affected balancers; replaces `part` unless empty
    // drop, repeat, reorder, spoil: share of the datagrams; alone: number of balancers still reached; lie: 0
    // reports all servers empty, 1 all full, 2 one empty; clock: seconds ahead, negative if behind.
    double size = 1;
    Duration span, spread;  // delay, and the upper bound of a random addition to it
    Way way = Way::both;
    std::string program;                                    // of the second process; empty: the same program
    std::vector<std::pair<std::string, std::string>> sets;  // reload: path in the settings, value as JSON
};

struct FaultInjection {
    Fault fault;
    std::vector<int> balancers, servers;  // their numbers, sorted
    TimePoint from, until;
    bool at(TimePoint t) const { return from <= t && t < until; }
};

const char* word(FaultKind);
std::vector<std::pair<std::string, FaultKind>> fault_words();
bool is_of_datagrams(FaultKind);
bool is_on_model(FaultKind);  // whether the model simulates the fault too, not only the sockets

struct Scenario;
// Returns the injections sorted by start; those with equal starts keep the order of the experiment.
std::vector<FaultInjection> injections_of(const Scenario&, uint64_t seed);
// Returns one line per injection: times, kind, size, affected balancers and servers.
std::string timeline_of(const std::vector<FaultInjection>&);

}  // namespace headrouter::scenario
