#include "lab_testbed/fake_clients.h"

using namespace headrouter::testbed;

struct Listening : Loop {
    AddressBlock block{1};
    TimerQueue timers{loop};
    std::string at = block.host(0) + ":8500";
    std::vector<std::pair<size_t, bool>> told;
    FakeDiscovery agent{
        timers, at, {entry("s-0000"), entry("s-0001")}, [this](const std::vector<Entry>& e, bool whole) {
            told.emplace_back(e.size(), whole);
        }};
    static Entry entry(const std::string& id, EndpointState c = EndpointState::active) {
        return {{id, 1, c, 0, 0, {}}, "127.0.0.1:1", 0};
    }
    static void ask(Peer& p, const std::string& query = "") {
        p.got.clear();
        p.write("GET /v1/servers" + query + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }
};

TEST(FakeDiscovery, ServesFullListThenSendsChangeToOpenWatchAtOnce) {
    Listening l;
    Peer p(l.at);
    Listening::ask(p);
    EXPECT_TRUE(l.until([&] { return p.has("]}"); }));
    EXPECT_TRUE(p.has("\"reset\":true"));
    EXPECT_TRUE(p.has("s-0001"));
    EXPECT_TRUE(p.has("\"generation\":100"));
    Listening::ask(p, "?since=100&timeout_ms=20000");
    EXPECT_TRUE(l.until([&] { return l.agent.watches() == 1; }));
    l.agent.change(Listening::entry("s-0001", EndpointState::draining));
    EXPECT_TRUE(l.until([&] { return p.has("DRAINING"); }));
    EXPECT_TRUE(p.has("\"generation\":101"));
    EXPECT_FALSE(p.has("s-0000"));
    EXPECT_EQ(l.told.size(), 2u);
    EXPECT_EQ(l.told[1], std::pair(size_t{1}, false));
}

TEST(FakeDiscovery, TimedOutWatchGetsNoEntriesAndOlderVersionGetsAllChangesSince) {
    Listening l;
    Peer p(l.at);
    Listening::ask(p, "?since=100&timeout_ms=30");
    EXPECT_TRUE(l.until([&] { return p.has("\"instances\":[]"); }));
    EXPECT_TRUE(l.told.empty());
    l.agent.change(Listening::entry("s-0002"));
    l.agent.change(Listening::entry("s-0000", EndpointState::removed));
    Listening::ask(p, "?since=100&timeout_ms=20000");
    EXPECT_TRUE(l.until([&] { return p.has("s-0002") && p.has("DELETED"); }));
    EXPECT_FALSE(p.has("s-0001"));
}

TEST(FakeDiscovery, SilentSendsNothingGarbledSendsInvalidListAndBackSendsOldList) {
    Listening l;
    l.agent.set_manner(FakeDiscovery::Manner::silent);
    Peer p(l.at);
    Listening::ask(p);
    EXPECT_TRUE(l.until([&] { return l.agent.asked() == 1; }));
    l.turn(millis(50));
    p.read();
    EXPECT_TRUE(p.got.empty());
    l.agent.set_manner(FakeDiscovery::Manner::garbled);
    EXPECT_TRUE(l.until([&] { return p.over(); }));
    for (int k = 0; k < 3; ++k) {
        Peer other(l.at);
        Listening::ask(other);
        EXPECT_TRUE(l.until([&] { return other.has("\r\n\r\n"); }));
        EXPECT_FALSE((other.has("\"reset\":true") && other.has("]}")));
    }
    EXPECT_TRUE(l.told.empty());
    l.agent.set_manner(FakeDiscovery::Manner::back);
    l.agent.change(Listening::entry("s-0001", EndpointState::removed));
    Peer last(l.at);
    Listening::ask(last);
    EXPECT_TRUE(l.until([&] { return last.has("]}"); }));
    EXPECT_TRUE(last.has("\"generation\":61"));
    EXPECT_TRUE(last.has("s-0001"));
}

TEST(FakeDiscovery, DropsConnectionThatIsNotHttp) {
    Listening l;
    Peer p(l.at);
    p.write("\x01\x02 nonsense\r\n\r\n");
    EXPECT_TRUE(l.until([&] { return p.over(); }));
    EXPECT_EQ(l.agent.asked(), 0);
}

TEST(FakeDiscovery, LateAnswerIsNotWrittenWhenRequesterHasClosed) {
    Listening l;
    l.agent.set_manner(FakeDiscovery::Manner::late);
    Peer p(l.at);
    Listening::ask(p);
    EXPECT_TRUE(l.until([&] { return l.agent.asked() == 1; }));
    p.fd.close();
    l.turn(millis(20));
    EXPECT_TRUE(l.told.empty());
}
