/// Tests of the configuration at the start and at a reload.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>  // its streams must be initialized before the cases run

#include "app/command_line.h"
#include "proxy/balancer_fixture.h"

static std::string make_snapshot(int version, const std::string& id, const std::string& address) {
    return R"({"generation":)" + std::to_string(version) + R"(,"reset":true,"instances":[{"instanceId":")" +
           id + R"(","hostPort":")" + address + R"(","zone":"a","lifecycle":"SERVING"}]})";
}

TEST(BalancerReload, SwitchesToTheNewDiscoveryAddressWithoutAGap) {
    BalancerFixture fixture;
    fixture.send_endpoints(make_snapshot(5, "s", fixture.server_listener.address));
    auto [client, server] = fixture.establish();
    Listener replaced_listener;
    Listener new_listener;
    BootstrapConfig next = fixture.config;
    next.discovery = replaced_listener.address;
    fixture.balancer->reload(next);
    // The second reload arrives before this address has answered.
    Peer unanswered = fixture.accept(replaced_listener);
    next.discovery = new_listener.address;
    fixture.balancer->reload(next);
    Peer watch = fixture.accept(new_listener);
    EXPECT_TRUE(fixture.receives(watch, "GET /v1/servers HTTP/1.1\r\n"));
    EXPECT_TRUE(fixture.sees_close(unanswered));
    fixture.balancer->begin_graceful_shutdown();
    fixture.balancer->reload(next);  // also during the shutdown
    watch = fixture.accept(new_listener);
    const uint64_t lists = fixture.count(Counter::endpoint_updates);
    client.write("still there\r\n");
    EXPECT_TRUE(fixture.receives(server, "still there\r\n"));
    // The old watch goes on until the new address answers.
    EXPECT_TRUE(fixture.receives(fixture.discovery, "since=5"));
    // Versions of the new address are independent of the old one's.
    const std::string body = make_snapshot(2, "t", fixture.server_listener.address);
    watch.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_TRUE(fixture.receives(watch, "since=2&"));
    EXPECT_TRUE(fixture.sees_close(fixture.discovery));
    EXPECT_EQ(fixture.count(Counter::endpoint_updates), lists + 1);
    EXPECT_EQ(fixture.count(Counter::reloads), 3u);
}

// The new address may have heard of a drain later than the old one: its list must not undo what was reported.
TEST(BalancerReload, DrainReportedByTheOldAddressOutlastsAnOlderListOfTheNewOne) {
    BalancerFixture fixture;
    const auto list = [&](int version, const std::string& lifecycle) {
        const std::string body = R"({"generation":)" + std::to_string(version) +
                                 R"(,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
                                 fixture.server_listener.address + R"(","zone":"a","lifecycle":")" +
                                 lifecycle + R"("}]})";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    const auto is_sent_to_server = [&] {
        const uint64_t started = fixture.count(Counter::attempts_started);
        const Peer client = fixture.connect_client();
        fixture.run_for(millis(50));
        return fixture.count(Counter::attempts_started) > started;
    };
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1\r\n"));
    fixture.discovery.write(list(5, "DRAINING"));
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 1; }));
    const TimePoint reported = Clock::now();
    Listener new_listener;
    BootstrapConfig next = fixture.config;
    next.discovery = new_listener.address;
    fixture.balancer->reload(next);
    Peer watch = fixture.accept(new_listener);
    EXPECT_TRUE(fixture.receives(watch, "GET /v1/servers HTTP/1.1\r\n"));
    watch.write(list(2, "SERVING"));
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 2; }));
    EXPECT_FALSE(is_sent_to_server());
    // A change counts as known to the new address 6 s after it was reported here.
    while (Clock::now() - reported < seconds(5.5)) fixture.run_for(millis(100));
    EXPECT_FALSE(is_sent_to_server());
    fixture.run_for(seconds(1));
    EXPECT_TRUE(is_sent_to_server());
}

TEST(BalancerReload, AppliesLimitsAndRequestClassesAndRejectsAnInvalidConfiguration) {
    BalancerFixture fixture;
    // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): kept open while the test runs.
    auto [client, server] = fixture.establish();
    BootstrapConfig next = fixture.config;
    next.discovery = "nowhere";
    bool refused = false;
    try {
        fixture.balancer->reload(next);
    } catch (const ParseError&) {
        refused = true;
    }
    EXPECT_TRUE(refused);
    EXPECT_EQ(fixture.count(Counter::reloads), 0u);
    next = fixture.config;
    next.cluster.request_class_names = {"talk", "chat"};
    next.cluster.policy.request_classes.insert(next.cluster.policy.request_classes.begin(),
                                               next.cluster.policy.request_classes[0]);
    fixture.balancer->reload(next);
    Peer talk = fixture.connect_client("c=talk,d=900");
    Peer talk_server = fixture.accept(fixture.server_listener);
    EXPECT_TRUE(fixture.receives(talk_server, " 2b c=talk,d="));
    next.max_descriptors = FileDescriptor::open_count() + 4;
    fixture.balancer->reload(next);
    Peer late = fixture.connect_client();
    EXPECT_TRUE(fixture.receives(late, "BUSY\r\n"));
    EXPECT_EQ(fixture.count(Counter::refused_for_descriptors), 1u);
}

// The discovery address in the file takes precedence over the one in the environment.
TEST(BalancerReload, SighupReadsTheConfigurationFileAgain) {
    BalancerFixture fixture;  // for its loop only
    Listener old_discovery;
    Listener new_discovery;
    const std::string listen = unused_address();
    const std::string path = "reload_test_" + std::to_string(getpid()) + ".json";
    const auto write_file = [&](const std::string& discovery) {
        std::ofstream(path) << R"({"listen":")" << listen << R"(","discovery":")" << discovery
                            << R"(","seed":"1f","settings":{"discovery":"push","ceilings":{"maxLegs":2},
            "invariants":{"coldNs":0},"trafficTypes":[{"name":"chat","effect":"pure","setupTargetNs":800000000,
            "guardTimeNs":1000000000}]}})";
    };
    write_file("127.0.0.1:1");
    const pid_t child = fork();
    if (child == 0) {
        setenv("PROXY_CONFIG", path.c_str(), 1);
        setenv("PROXY_DISCOVERY", old_discovery.address.c_str(), 1);
        std::string serve = "serve", level = "--log=error", name = "headrouter";
        char* args[] = {name.data(), serve.data(), level.data(), nullptr};
        _exit(command_line(3, args));
    }
    Peer first = fixture.accept(old_discovery);
    EXPECT_TRUE(fixture.receives(first, "GET /v1/servers HTTP/1.1\r\n"));
    std::ofstream(path) << "{\"listen\":";
    kill(child, SIGHUP);
    fixture.run_for(seconds(0.1));
    write_file(new_discovery.address);
    kill(child, SIGHUP);
    Peer second = fixture.accept(new_discovery);
    EXPECT_TRUE(fixture.receives(second, "GET /v1/servers HTTP/1.1\r\n"));
    Peer client = connect_peer(listen);
    client.write("PING\r\n");
    EXPECT_TRUE(fixture.receives(client, "PONG\r\n"));
    kill(child, SIGTERM);
    int status = 0;
    EXPECT_EQ(waitpid(child, &status, 0), child);
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
    std::remove(path.c_str());
}

TEST(BalancerReload, InvalidConfigurationThrowsWithAMessage) {
    const Clock clock;
    for (const char* bad : {"", "{}", "[]", R"({"listen":"a"})", R"({"listen":1,"discovery":"b","seed":"1"})",
                            R"({"listen":"a","discovery":"b","seed":"xyz","settings":{}})",
                            R"({"listen":"a","discovery":"b","seed":"1f","settings":{}})"}) {
        std::string message;
        try {
            (void)parse_bootstrap_config(bad, clock);
        } catch (const ParseError& error) {
            message = error.what();
        }
        EXPECT_FALSE(message.empty());
    }
}
