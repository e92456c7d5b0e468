/// Runs a complete balancer in the test's process; the test plays its only server and its discovery service.
#pragma once
#include <fcntl.h>

#include <sstream>

#include "proxy/balancer.h"
#include "proxy/socket_peers.h"

struct BalancerFixtureOptions {
    int max_descriptors = 1024;
    std::string server_address = {};  ///< address of the only listed server; empty: the fixture's listener
    std::string discovery_mode = "push";
    std::string admin_address = {};  ///< empty: no admin server
    std::string effect = "pure";     ///< of the only request class
    Duration dedup_window = {};
    Duration connect_timeout = millis(150);
    Duration guard_time = seconds(1);
    std::optional<Duration> drain_grace = {};  ///< nothing: the settings state none
};

struct BalancerFixture : EventLoopFixture {
    Listener server_listener;
    Listener discovery_listener;
    std::ostringstream log_text;
    Log log{log_text, LogLevel::debug};
    Clock clock;
    BootstrapConfig config;
    std::unique_ptr<Balancer> balancer;
    Peer discovery;  ///< the test's end of the balancer's connection to discovery
    uint64_t last_id = 1'000'000'000'000'000;

    explicit BalancerFixture(const BalancerFixtureOptions& options = {}) {
        const std::string server =
            options.server_address.empty() ? server_listener.address : options.server_address;
        config = parse_bootstrap_config(
            R"({"name":"n","ops":")" + options.admin_address + R"(","listen":")" + unused_address() +
                R"(","discovery":")" + discovery_listener.address +
                R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" +
                std::to_string(options.max_descriptors) +
                R"(,"memory_mb":64},"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s",
                "hostPort":")" +
                server + R"(","zone":"a","lifecycle":"SERVING","weight":1,"startedAtMs":0}]},
                "settings":{"discovery":")" +
                options.discovery_mode + R"(","ceilings":{"maxLegs":2,"dialTimeoutNs":)" +
                std::to_string(options.connect_timeout.ns) + R"(},
                "invariants":{"coldNs":0)" +
                (options.drain_grace ? R"(,"drainGraceNs":)" + std::to_string(options.drain_grace->ns) : "") +
                R"(,"askEveryNs":4000000000},"failureDomains":["a"],"realms":[],"trafficTypes":[{"name":"chat",
                "effect":")" +
                options.effect + R"(","windowNs":)" + std::to_string(options.dedup_window.ns) +
                R"(,"keyScope":"all","setupTargetNs":800000000,"guardTimeNs":)" +
                std::to_string(options.guard_time.ns) + R"(}]}})",
            clock);
        balancer = std::make_unique<Balancer>(loop, config, clock, log);
        balancer->start();
        discovery = accept(discovery_listener);
    }
    BalancerFixture(const BalancerFixture&) = delete;
    BalancerFixture& operator=(const BalancerFixture&) = delete;
    ~BalancerFixture() { balancer.reset(); }

    uint64_t count(Counter counter) const { return balancer->counters()[counter]; }

    /// Returns a request line with a new id.
    std::string make_request_line(const std::string& fields) {
        return "OPEN " + std::to_string(++last_id) + " 2b " + fields + "\r\n";
    }
    /// Returns a client that has sent its request.
    Peer connect_client(const std::string& fields = "c=chat,d=900") {
        Peer client = connect_peer(config.listen);
        client.write(make_request_line(fields));
        return client;
    }
    /// Accepts the balancer's connection to the server for an attempt and reads the request. Expects that the
    /// deadline forwarded is not the client's own 900 ms.
    Peer accept_attempt() {
        Peer server = accept(server_listener);
        EXPECT_TRUE(receives(server, " 2b c=chat,d="));
        EXPECT_EQ(server.received.find("d=900"), std::string::npos);
        server.received.clear();
        return server;
    }
    /// Returns a request that the server has accepted.
    EstablishedRequest establish() {
        Peer client = connect_client();
        Peer server = accept_attempt();
        server.write("UP r\r\n");
        EXPECT_TRUE(receives(client, "UP r\r\n"));
        client.received.clear();
        return {std::move(client), std::move(server)};
    }
    /// Answers the balancer's pending request to discovery with an endpoint list.
    void send_endpoints(const std::string& body) const {
        discovery.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                        body);
    }
};
