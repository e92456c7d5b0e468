// Runs the test bed with a scripted fake balancer that breaks one rule at a time; the checker must detect
// each.
#include <iostream>
#include <map>

#include "lab_testbed/fake_clients.h"
#include "transport/lingering_closer.h"

using namespace headrouter::testbed;
using namespace headrouter::scenario;

enum class Violation {
    none,
    drops,
    never_answers,
    sends_line_after_busy,
    two_servers,
    concurrent_attempts,
    ignores_drains,
    overloads_cold_server,
    cuts,
    changes_request_line
};

// Forwards lines between a client and the first server, and violates one rule.
class FakeBalancer : private LineConnection::Owner {
   public:
    FakeBalancer(headrouter::testbed::TestBed& bed, struct ev_loop* loop, const Scenario& w,
                 std::vector<std::string> servers, Violation violation)
        : bed_(bed),
          loop_(loop),
          world_(w),
          servers_(std::move(servers)),
          violation_(violation),
          farewell_(loop),
          acceptor_(loop, bed.seat(0).listen, [this](Fd fd) { add(std::move(fd), 0, false); }) {
        discovery_ = std::make_unique<LineConnection>(loop, connect_to(*Address::from(bed.seat(0).discovery)),
                                                      static_cast<LineConnection::Owner&>(*this), 0);
        discovery_->start_connecting();
        discovery_->send("GET /v1/servers?since=100&timeout_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n");
    }

   private:
    struct End {
        std::unique_ptr<LineConnection> line;
        uint64_t other = 0;
        bool server = false, up = false;
        std::string opening;
    };
    uint64_t add(Fd fd, uint64_t other, bool server) {
        const uint64_t id = ++last_;
        End& e = ends_[id];
        e.line = std::make_unique<LineConnection>(loop_, std::move(fd),
                                                  static_cast<LineConnection::Owner&>(*this), id);
        e.other = other;
        e.server = server;
        server ? e.line->start_connecting() : e.line->start();
        return id;
    }
    uint64_t call_server(size_t k, uint64_t client, std::string opening) {
        if (violation_ == Violation::changes_request_line) opening.replace(opening.find("c="), 3, "c=x");
        const uint64_t id = add(connect_to(*Address::from(servers_[k])), client, true);
        ends_[id].line->send(opening);
        return id;
    }
    void finish(uint64_t id) {
        const auto it = ends_.find(id);
        if (it == ends_.end()) return;
        it->second.line->finish();
        farewell_.add(std::move(it->second.line));
        ends_.erase(it);
    }
    void on_bytes(LineConnection& line, std::string_view bytes, bool) override {
        if (line.id() == 0 || !ends_.contains(line.id())) return;
        End& e = ends_[line.id()];
        const std::string text(bytes);
        if (e.server) return from_server(line.id(), text);
        if (e.other) {
            if (ends_.contains(e.other)) ends_[e.other].line->send(text);
            return;
        }
        if (text.substr(0, 4) == "PING") return e.line->send("PONG\r\n");
        e.opening = text;
        switch (violation_) {
            case Violation::drops: return finish(line.id());
            case Violation::never_answers: return;
            case Violation::sends_line_after_busy:
                e.line->send("BUSY\r\nLOAD 3\r\n");
                return finish(line.id());
            case Violation::concurrent_attempts: call_server(1, 0, text); break;
            default: break;
        }
        e.other = call_server(0, line.id(), text);
    }
    void from_server(uint64_t id, const std::string& text) {
        End& e = ends_[id];
        const uint64_t client = e.other;
        if (!ends_.contains(client)) return;
        if (text.substr(0, 2) == "UP" && violation_ == Violation::two_servers &&
            !std::exchange(ends_[client].up, true)) {
            const std::string opening = ends_[client].opening;
            finish(id);  // the request ran on the first server and runs again on another
            ends_[client].other = call_server(1, client, opening);
            return;
        }
        ends_[client].line->send(text);
        if (text.substr(0, 2) == "UP" && violation_ == Violation::cuts) finish(client), finish(id);
    }
    void on_closed(LineConnection& line, CloseReason) override {
        if (line.id() == 0) return;
        const uint64_t other = ends_.contains(line.id()) ? ends_[line.id()].other : 0;
        finish(line.id());
        if (other) finish(other);
    }

    headrouter::testbed::TestBed& bed_;
    struct ev_loop* loop_;
    const Scenario& world_;
    std::vector<std::string> servers_;
    Violation violation_;
    LingeringCloser farewell_;
    std::map<uint64_t, End> ends_;
    uint64_t last_ = 0;
    std::unique_ptr<LineConnection> discovery_;
    Acceptor acceptor_;
};

struct Played {
    Outcome out;
    uint64_t garbled = 0;
    uint64_t broken(Rule r) const { return out.rules[static_cast<size_t>(r)]; }
};

static Scenario hurried(Idempotency idempotency = Idempotency::idempotent) {
    Scenario w = small_world(3);
    w.length = seconds(1.6);
    w.judged_from = Duration{};
    w.add_notice = w.gone_notice = millis(50);
    w.drain_grace = millis(200);
    RequestClassSpec& t = w.traffic.types[0];
    t.idempotency = idempotency;
    t.deadline = millis(400);
    t.setup_objective = millis(300);
    t.message_every = millis(100);
    t.hold = seconds(2);
    t.load = 20;
    w.traffic.ramp = seconds(1);
    w.traffic.retries = 0;
    w.traffic.use = 0.2;  // the fake sends to one server only
    return w;
}

static Played play_fake(const Scenario& w, Violation violation) {
    Loop loop;
    Played p;
    headrouter::testbed::TestBed bed(loop.loop, w, 3, p.out);
    std::vector<std::string> servers;
    for (int k = 0; k < w.servers; ++k) servers.push_back(bed.place(k));
    FakeBalancer fake(bed, loop.loop, w, servers, violation);
    EXPECT_TRUE(loop.until([&] { return bed.ready(0); }));
    bed.begin({[](int) {}, [](int) {}});
    EXPECT_TRUE(loop.until([&] { return bed.finished(); }));
    loop.turn(millis(100));
    bed.finish();
    p.garbled = bed.clients().garbled_lines();
    return p;
}

TEST(FaultyBalancer, FakeThatOnlyForwardsBreaksNoRule) {
    const Played p = play_fake(hurried(Idempotency::non_idempotent), Violation::none);
    for (const std::string& e : p.out.examples) std::cerr << e << "\n";
    EXPECT_EQ(p.out.rules_broken(), 0);
    EXPECT_GT(p.out.up, 20);
    EXPECT_GT(p.out.service(), 0.5);
    EXPECT_EQ(p.garbled, 0);
}

TEST(FaultyBalancer, EachViolationIsDetectedByItsRule) {
    for (const auto& [violation, rule] : {std::pair{Violation::drops, Rule::request_lost},
                                          {Violation::never_answers, Rule::request_lost},
                                          {Violation::sends_line_after_busy, Rule::request_lost},
                                          {Violation::two_servers, Rule::executed_twice},
                                          {Violation::concurrent_attempts, Rule::concurrent_attempts},
                                          {Violation::cuts, Rule::cut_without_move}}) {
        const Played p = play_fake(hurried(Idempotency::non_idempotent), violation);
        EXPECT_GT(p.broken(rule), 5);
    }
}

TEST(FaultyBalancer, ServerDetectsChangedRequestLine) {
    EXPECT_GT(play_fake(hurried(), Violation::changes_request_line).garbled, 5);
}

TEST(FaultyBalancer, DetectsRequestsSentToDrainedServer) {
    Scenario w = hurried();
    w.servers = 1;
    w.incidents.push_back({IncidentKind::deploy, TimePoint{} + millis(300), seconds(2), 1, 1});
    const Played p = play_fake(w, Violation::ignores_drains);
    EXPECT_GT(p.broken(Rule::drain_broken), 0);
}

TEST(FaultyBalancer, DetectsOverloadOfColdServer) {
    Scenario w = hurried();
    w.overload_window = millis(200);
    w.kinds[0].cold_from = 0.05;
    w.kinds[0].slow_start_time = seconds(60);
    w.traffic.use = 1;
    w.incidents.push_back({IncidentKind::crash, TimePoint{} + millis(100), millis(100), 1, 1});
    const Played p = play_fake(w, Violation::overloads_cold_server);
    EXPECT_GT(p.broken(Rule::cold_server_overloaded), 0);
}
