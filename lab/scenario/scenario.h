// Describes the simulated fleet of an experiment: servers, traffic, incidents and faults. The values are read
// from an experiment file or set by a test; the model in virtual time and the simulated processes on sockets
// are both built from them. Times have the types of base/time.h; loads are milliseconds of work per second;
// parts are in [0, 1].
#pragma once
#include <string>
#include <vector>

#include "policy/balancing_policy.h"
#include "scenario/fault.h"

namespace headrouter::scenario {

struct ServerKind {
    std::string name = "usual";
    double share = 1;  // of all servers, relative to the sum of the kinds' shares
    double cores = 4, speed = 1, weight = 1;
    double cold_from = 1;      // part of its capacity that a cold server starts with
    Duration slow_start_time;  // until full capacity, which grows linearly
    int most_connections = 0;  // limit of connections; 0: none
    double error_rate = 0;     // share of the set-ups that are answered ERR
};

struct RequestClassSpec {
    std::string name = "chat";
    double share = 1, revenue = 1;
    Idempotency idempotency = Idempotency::idempotent;
    DedupScope dedup_scope = DedupScope::all;
    Duration setup_objective = millis(500), deadline = seconds(2), dedup_window = seconds(5);
    Duration message_objective = millis(60), message_every = seconds(2);
    double load = 8;  // mean load of a connection
    Duration hold = seconds(30);
};

struct Traffic {
    double use = 0.4;          // requested part of the capacity of all warm servers
    double load_spread = 0.5;  // largest deviation of a connection's load, as a part of its mean
    int groups = 0, tenants = 1;
    double group_load = 0;       // load of each group on each server that holds a connection of it
    Duration ramp = seconds(5);  // time over which the initial clients arrive
    int retries = 3;             // consecutive retries after a failed set-up
    Duration back_off = millis(100);
    Duration return_after = millis(100);  // mean delay of a client whose connection was moved or broke
    std::vector<RequestClassSpec> types{RequestClassSpec{}};
};

enum class IncidentKind {
    crash,
    vanish,
    hang,
    slow,
    errors,
    full,
    deploy,
    shrink,
    burst,
    heavy,
    reconnect,
    list_outage,
    list_garbled,
    list_back,
    balancer_crash
};

struct Incident {
    IncidentKind kind = IncidentKind::crash;
    TimePoint at;  // from the start of the run
    Duration lasts;
    double part = 0.25;  // affected part of the servers, clients or balancers
    double size = 1;     // slow: remaining part of the speed; errors: rate; burst, heavy: factor
};

struct Scenario {
    int servers = 12, balancers = 2, zones = 2, cells = 2;
    std::vector<ServerKind> kinds{ServerKind{}};
    Duration setup_work = millis(4);
    Duration client_latency = millis(1), server_latency = millis(1);  // one way
    Duration add_notice = seconds(1), gone_notice = seconds(2), silent_notice = seconds(6);
    double notice_spread = 0.5;  // of each balancer's notice times round these, as a part of them
    bool tells_load = true, tells_delay = true, advises_retry_after = true;
    int max_attempts = 4;
    Duration connect_time = millis(150), max_retry_after = millis(1500);
    double cross_zone_cost = 0;
    Duration drain_grace = seconds(3), overload_window = seconds(1);
    double overload_multiple = 3;
    double quota = 0;  // of all tenants, as a part of the capacity of all servers; 0: no quota
    Traffic traffic;
    std::vector<Incident> incidents;
    bool messages = false;                   // balancers exchange gossip messages
    bool by_number = false, pooled = false;  // the operator's [spread]
    bool tells_size = false;            // each balancer knows how many there are; always so with messages
    Duration peer_latency = millis(2);  // of a datagram between two balancers
    std::vector<Fault> faults;
    double skew = 1;   // ratio of the traffic of the busiest balancer to that of the least busy
    double quiet = 0;  // part of the balancers that get no clients
    Duration length = seconds(60), judged_from = seconds(10);
};

const char* word(IncidentKind);
bool incident_from(const std::string& text, IncidentKind&);
std::vector<std::string> incident_words();

// Returns the settings of one balancer, as a PolicyConfig and as the JSON that is sent to it.
PolicyConfig deployment_of(const Scenario&, int balancer);
std::string settings_json(const Scenario&, int balancer);

// Returns the kind of each server: shares rounded so that they add up, the same for every seed.
std::vector<int> kinds_of(const Scenario&);
// Returns each balancer's relative share of the clients; the same for every seed.
std::vector<double> traffic_shares(const Scenario&);
// Returns the capacity of all warm servers, in microseconds of work per second.
double capacity_of(const Scenario&);
double connections_of(const Scenario&);  // mean connections that all warm servers can carry
std::string server_name(int server);     // "s-0007"

}  // namespace headrouter::scenario
