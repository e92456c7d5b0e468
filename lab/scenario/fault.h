// What goes wrong with balancers' processes and with the links between them: a fault as a script words it,
// and an injection, which is the same with the struck drawn. One seed gives the same injections on the model
// and on sockets. Parts lie between 0 and 1; instants count from the start of the run.
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
    split,  // the struck and the others do not hear each other
    alone,  // a struck one and all but a few do not hear each other
    lie,    // what the struck say of loads is not so
    // testbed/fleet_context.cpp relies on the order within list_*, path_* and client_*.
    // The list as the struck balancers have it.
    list_silent,
    list_garbled,
    list_late,
    list_back,
    list_old,     // changes come a span later
    list_hidden,  // it names the struck servers no more
    // The connections of the struck balancers to the struck servers, and of clients to them.
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
    second,  // a second process beside the first, which takes over
    reload,
    clock
};

enum class Way { both, out, in };  // of the struck: what they say, what they hear

struct Fault {
    FaultKind kind = FaultKind::drop;
    TimePoint at;
    Duration lasts;
    double part = 0.25, servers = 0.25;  // of the balancers, of the servers
    std::vector<int> numbers;            // of balancers; in place of a part
    // drop, repeat, reorder, spoil: share of datagrams; alone: how many are still heard; lie: 0 all servers
    // are empty, 1 all are full, 2 one is empty; clock: seconds ahead, negative for behind.
    double size = 1;
    Duration span, spread;  // a delay, and how much more by chance
    Way way = Way::both;
    std::string program;                                    // of the second process; empty: the same
    std::vector<std::pair<std::string, std::string>> sets;  // reload: path in the settings, JSON
};

struct FaultInjection {
    Fault fault;
    std::vector<int> balancers, servers;  // by number
    TimePoint from, until;
    bool at(TimePoint t) const { return from <= t && t < until; }
};

const char* word(FaultKind);
std::vector<std::pair<std::string, FaultKind>> fault_words();
bool is_of_datagrams(FaultKind);
bool is_on_model(FaultKind);  // the model plays it as well

struct Scenario;
// In the order of time; equal times as the script has them.
std::vector<FaultInjection> injections_of(const Scenario&, uint64_t seed);
// A line an injection: when, what, how much, whom.
std::string timeline_of(const std::vector<FaultInjection>&);

}  // namespace headrouter::scenario
