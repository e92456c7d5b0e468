/// Tests of gossip between balancers over loopback datagrams, and of the configurations that allow it.
#include <iostream>  // its streams must be initialized before the cases run
#include <sstream>

#include "gossip/gossip_message.h"
#include "policy_helpers.h"
#include "proxy/balancer.h"
#include "proxy/socket_peers.h"

namespace {

std::string peers_json(const std::string& own, const std::vector<std::string>& all) {
    std::string list;
    for (const std::string& address : all) list += (list.empty() ? "\"" : ",\"") + address + "\"";
    return R"("peers":{"own":")" + own + R"(","all":[)" + list + "]},";
}

std::string settings_json(const std::string& numbers, bool is_gossip_allowed, const std::string& cold = "") {
    return numbers + R"("invariants":{"coldNs":0)" + cold + R"(},"ceilings":{"maxLegs":2,"peers":)" +
           (is_gossip_allowed ? "true" : "false") + R"(,"dialTimeoutNs":150000000},)";
}

std::string config_json(const std::string& peers, const std::string& settings,
                        const std::string& listen = "1.2.3.4:5", const std::string& discovery = "1.2.3.4:6",
                        const std::string& server = "1.2.3.4:7") {
    return R"({"name":"n","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964",)" + peers +
           R"("known":{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":")" + server +
           R"(","zone":"a","lifecycle":"SERVING","weight":1,"startedAtMs":0}]},"settings":{)" + settings +
           R"("discovery":"push","failureDomains":["a"],"realms":[],"domain":{"groups":true},"trafficTypes":[{
           "name":"chat","effect":"pure","setupTargetNs":800000000,"guardTimeNs":1000000000}]}})";
}

/// Returns the message of the error that `function` throws; "" if it throws none.
template <class Function>
std::string error_message(Function function) {
    try {
        function();
        return "";
    } catch (const ParseError& error) {
        return error.what();
    }
}

std::string config_error(const std::string& peers, const std::string& settings) {
    return error_message([&] { (void)parse_bootstrap_config(config_json(peers, settings), Clock()); });
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

/// Runs two balancers; the test plays the third replica, the only server and the discovery service.
struct GossipFixture : EventLoopFixture {
    GossipPeer third;
    std::string gossip_address[2] = {GossipPeer().address, GossipPeer().address};
    std::string listen_address[2] = {unused_address(), unused_address()};
    Listener server_listener;
    Listener discovery_listener;
    std::ostringstream log_text;
    Log log{log_text, LogLevel::debug};
    Clock clock;
    std::unique_ptr<Balancer> balancers[2];
    uint64_t last_id = 1'000'000'000'000'000;

    GossipFixture() {
        for (int k = 0; k < 2; ++k) {
            balancers[k] = std::make_unique<Balancer>(loop, make_config(k), clock, log);
            balancers[k]->start();
        }
    }
    GossipFixture(const GossipFixture&) = delete;
    GossipFixture& operator=(const GossipFixture&) = delete;
    ~GossipFixture() {
        for (auto& balancer : balancers) balancer.reset();
    }

    BootstrapConfig make_config(int k) {
        const std::string numbers = R"("groupSize":3,"slotNo":)" + std::to_string(k) + ",";
        const std::string peers =
            peers_json(gossip_address[k], {gossip_address[0], gossip_address[1], third.address});
        return parse_bootstrap_config(config_json(peers, settings_json(numbers, true), listen_address[k],
                                                  discovery_listener.address, server_listener.address),
                                      clock);
    }
    uint64_t count(int k, Counter counter) { return balancers[k]->counters()[counter]; }
    /// Sends a request to balancer `k` and expects that the server establishes it.
    EstablishedRequest establish(int k) {
        Peer client = connect_peer(listen_address[k]);
        client.write("OPEN " + std::to_string(++last_id) + " 2b c=chat,d=900,g=q\r\n");
        Peer server = accept(server_listener);
        EXPECT_TRUE(receives(server, "\r\n"));
        server.write("UP r\r\n");
        EXPECT_TRUE(receives(client, "UP r\r\n"));
        EXPECT_EQ(client.received, "UP r\r\n");
        return {std::move(client), std::move(server)};
    }
};

}  // namespace

TEST(GossipSocket, SendsRoundCountsAndSumsToTheOtherReplicas) {
    GossipFixture fixture;
    const EstablishedRequest first = fixture.establish(0);
    const EstablishedRequest second = fixture.establish(1);
    const EstablishedRequest third = fixture.establish(1);
    bool has_counts = false;
    bool has_sum = false;
    const TimePoint end = Clock::now() + seconds(17);
    while (!(has_counts && has_sum) && Clock::now() < end) {
        fixture.run_for(millis(20));
        std::string bytes = fixture.third.receive();
        while (!bytes.empty()) {
            const auto message = gossip::parse_message(bytes);
            ASSERT_TRUE(message);
            if (message->kind == gossip::MessageKind::round_counts && message->total_load >= 1 &&
                message->loads.size() == 1 &&
                message->loads[0].server == gossip::ShortServerIds::short_id_of("s"))
                has_counts = true;
            if (message->kind == gossip::MessageKind::round_sum && message->reporter_count == 2 &&
                message->total_load >= 2)
                has_sum = true;
            bytes = fixture.third.receive();
        }
    }
    EXPECT_TRUE(has_counts);
    EXPECT_TRUE(has_sum);
    EXPECT_GT(fixture.count(0, Counter::gossip_sent), 0u);
    EXPECT_GT(fixture.count(0, Counter::gossip_received), 0u);
    EXPECT_EQ(fixture.count(0, Counter::gossip_malformed), 0u);
    EXPECT_EQ(fixture.count(1, Counter::gossip_foreign), 0u);
}

// Datagrams are malformed, too long, from a foreign address or a flood from a replica's address; at last none
// arrive.
TEST(GossipSocket, ServesClientsWhateverDatagramsArrive) {
    GossipFixture fixture;
    GossipPeer foreign;
    for (const size_t size : {2, 3, 256, 257, 1400})
        fixture.third.send_to(fixture.gossip_address[0], std::string(size, '1'));
    for (const char* malformed : {"9h00000", "1h0000"})
        fixture.third.send_to(fixture.gossip_address[0], malformed);
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(0, Counter::gossip_malformed) == 7; }));
    for (int k = 0; k < 5; ++k) foreign.send_to(fixture.gossip_address[0], "1h00000");
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(0, Counter::gossip_foreign) == 5; }));
    fixture.third.send_to(fixture.gossip_address[0], "1h00000");
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(0, Counter::gossip_received) >= 1; }));
    const auto after = fixture.establish(0);
    for (int k = 0; k < 400; ++k) {
        fixture.third.send_to(fixture.gossip_address[1], "1h00000");
        if (k % 50 == 49) fixture.run_for(seconds(0.005));
    }
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(1, Counter::gossip_foreign) > 0; }));
    EXPECT_LE(fixture.count(1, Counter::gossip_received), 3 * 20 + 20);
    const auto within = fixture.establish(1);
    fixture.third.fd.close();
    fixture.balancers[1].reset();
    fixture.run_for(seconds(0.3));
    const auto alone = fixture.establish(0);
}

// The reload would change the replica index or bind an address that is in use.
TEST(GossipSocket, RejectedReloadKeepsTheOldAddresses) {
    GossipFixture fixture;
    BootstrapConfig other_index = fixture.make_config(0);
    other_index.cluster.policy.replica_index = 2;
    BootstrapConfig address_in_use = fixture.make_config(0);
    address_in_use.own_gossip_address = fixture.third.address;
    address_in_use.gossip_addresses[0] = fixture.third.address;
    for (const auto& [config, key] : {std::pair(other_index, "'slotNo'"), {address_in_use, "'peers.own'"}}) {
        const auto reload = [&, &config = config] { fixture.balancers[0]->reload(config); };
        EXPECT_TRUE(contains(error_message(reload), key));
    }
    fixture.third.send_to(fixture.gossip_address[0], "1h00000");
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(0, Counter::gossip_received) > 0; }));
    const auto client = fixture.establish(0);
}

// Gossip is allowed but no peers are configured: the balancer starts without gossip. A reload that drops the
// peers of the running configuration is rejected.
TEST(GossipSocket, StartsWithoutGossipIfNoAddressesAreConfigured) {
    GossipFixture fixture;
    BootstrapConfig alone = fixture.make_config(0);
    alone.gossip_addresses.clear();
    alone.gossip_without_peers = true;
    EXPECT_TRUE(contains(error_message([&] { fixture.balancers[0]->reload(alone); }), "'peers' is missing"));
    const BootstrapConfig read =
        parse_bootstrap_config(config_json("", settings_json(R"("groupSize":2,"slotNo":1,)", true)), Clock());
    EXPECT_TRUE(read.gossip_without_peers);
    EXPECT_FALSE(read.cluster.policy.gossip_enabled);
    EXPECT_TRUE(read.gossip_addresses.empty());
    EXPECT_FALSE(
        parse_bootstrap_config(config_json("", settings_json(R"("groupSize":2,"slotNo":1,)", false)), Clock())
            .gossip_without_peers);
}

TEST(GossipSocket, RejectsAnInconsistentConfigurationAndNamesItsKey) {
    const std::string first = "127.0.0.1:1";
    const std::string second = "127.0.0.1:2";
    const std::string two = peers_json(second, {first, second});
    const auto numbers = [](const char* size, const char* slot) {
        return R"("groupSize":)" + std::string(size) + R"(,"slotNo":)" + slot + ",";
    };
    const std::string second_of_two = numbers("2", "1");
    const std::string allowed = settings_json(second_of_two, true);
    const std::string forbidden = settings_json(second_of_two, false);
    for (const auto& [peers, settings] :
         {std::pair(std::string(), settings_json("", false)), {"", forbidden}, {two, allowed}, {"", allowed}})
        EXPECT_TRUE(config_error(peers, settings).empty());
    const std::vector<std::array<std::string, 3>> rejected = {
        {two, forbidden, "'ceilings.peers'"},
        {two, settings_json(numbers("3", "1"), true), "'peers.all' has 2"},
        {two, settings_json(numbers("2", "2"), true), "'slotNo'"},
        {two, settings_json(numbers("2", "0"), true), "'peers.own'"},
        {two, settings_json(numbers("0", "0"), true), "'groupSize'"},
        {two, settings_json("", true), "'groupSize'"},
        {peers_json(second, {first, "x"}), allowed, "'peers.all'"},
        {peers_json(second, {second, second}), allowed, "twice"},
        {R"("peers":{"all":[]},)", allowed, "'own'"},
        {R"("peers":7,)", allowed, "'peers'"},
        {R"("peers":["127.0.0.1:1"],)", allowed, "'peers' has 1"},
        {R"("peers":["127.0.0.1:1","127.0.0.1:1"],)", allowed, "twice"},
        {R"("peers":["127.0.0.1:1",7],)", allowed, "'peers'"},
        {R"("peers":["127.0.0.1:1","127.0.0.1:2"],)", forbidden, "'ceilings.peers'"}};
    const BootstrapConfig bare =
        parse_bootstrap_config(config_json(R"("peers":["127.0.0.1:1","127.0.0.1:2"],)", allowed), Clock());
    EXPECT_EQ(bare.own_gossip_address, second);
    EXPECT_TRUE(bare.gossip_addresses == std::vector<std::string>({first, second}));
    EXPECT_FALSE(bare.gossip_without_peers);
    for (const auto& [peers, settings, key] : rejected)
        EXPECT_TRUE(contains(config_error(peers, settings), key));
}

TEST(GossipSocket, RejectsWarmUpSettingsOutOfRangeAndNamesTheirKey) {
    const std::array<std::string, 3> keys{"fallMultiple", "fallNs", "coldShare"};
    const std::array<std::string, 3> valid{"2.5", "3000000000", "0.3"};
    const auto error_of = [&](const std::array<std::string, 3>& values) {
        std::string cold;
        for (int k = 0; k < 3; ++k)
            if (!values[k].empty()) cold += ",\"" + keys[k] + "\":" + values[k];
        return config_error("", settings_json("", false, cold));
    };
    EXPECT_TRUE(error_of(valid).empty());
    EXPECT_TRUE(error_of({}).empty());
    const std::vector<std::string> invalid[] = {
        {"", "0", "-3", "1e300", "\"3\""}, {"", "0", "-1"}, {"", "0", "-0.3", "1.1"}};
    for (int k = 0; k < 3; ++k)
        for (const std::string& value : invalid[k]) {
            auto values = valid;
            values[k] = value;
            EXPECT_TRUE(contains(error_of(values), "'" + keys[k] + "'"));
        }
    const PolicyConfig without_settings =
        parse_bootstrap_config(config_json("", settings_json("", false)), Clock()).cluster.policy;
    EXPECT_FALSE(without_settings.gossip_enabled);
    EXPECT_EQ(without_settings.overload_multiple, 3);  // the default
}

// Guards against a failed start while a stopped process still has the gossip address bound.
TEST(GossipSocket, ServesWhileItsAddressIsInUseAndBindsItOnceItIsFree) {
    GossipFixture fixture;
    BootstrapConfig config = fixture.make_config(0);
    config.listen = unused_address();
    Balancer late(fixture.loop, config, fixture.clock, fixture.log);
    late.start();
    EXPECT_TRUE(contains(fixture.log_text.str(), "gossip_unavailable address=" + fixture.gossip_address[0]));
    const auto is_in_use = [&] {
        const Address address = *Address::from(fixture.gossip_address[0]);
        const FileDescriptor fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
        return bind(fd.get(), reinterpret_cast<const sockaddr*>(&address.bytes), address.size) != 0;
    };
    fixture.balancers[0].reset();
    EXPECT_FALSE(is_in_use());
    EXPECT_TRUE(fixture.run_until(is_in_use));
    // An address that does not belong to this host is still rejected.
    config.own_gossip_address = "192.0.2.1:9090";
    config.gossip_addresses[0] = config.own_gossip_address;
    const auto start = [&] { Balancer(fixture.loop, config, fixture.clock, fixture.log).start(); };
    EXPECT_TRUE(contains(error_message(start), "cannot bind the gossip socket"));
}
