#include "testbed/fake_server.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "downstream/request_line.h"

namespace headrouter::testbed {
using scenario::Mode;
using scenario::SimulatedServer;

namespace {
constexpr Duration delay_beat = seconds(1);
}

int64_t field_of(std::string_view line, std::string_view name) {
    const std::string wanted = std::string(name) + "=";
    for (size_t at = line.find(wanted); at != std::string_view::npos; at = line.find(wanted, at + 1)) {
        if (at == 0 || (line[at - 1] != ' ' && line[at - 1] != ',')) continue;
        int64_t value = -1;
        const char* const from = line.data() + at + wanted.size();
        const auto [end, fault] = std::from_chars(from, line.data() + line.size(), value);
        return fault == std::errc() && end != from ? value : -1;
    }
    return -1;
}

uint64_t request_of(std::string_view line) {
    if (line.substr(0, 5) != "OPEN ") return 0;
    uint64_t id = 0;
    const char* const last = line.data() + std::min(line.size(), size_t{21});
    const auto [end, fault] = std::from_chars(line.data() + 5, last, id, 16);
    return fault == std::errc() && end == last ? id : 0;
}

FakeServer::FakeServer(TimerQueue& timers, int number, std::string at, SimulatedServer& machine,
                       const scenario::Scenario& world, SeenByServers& seen)
    : timers_(timers),
      number_(number),
      machine_(machine),
      world_(world),
      seen_(seen),
      farewell_(timers.loop()),
      acceptor_(timers.loop(), std::move(at), [this](Fd fd) { taken(std::move(fd)); }) {}

FakeServer::~FakeServer() { *alive_ = false; }

void FakeServer::later(TimePoint when, std::function<void()> what) {
    timers_.at(when, [alive = alive_, what = std::move(what)] {
        if (*alive) what();
    });
}

void FakeServer::taken(Fd fd) {
    const uint64_t id = ++last_;
    Conn& conn = conns_[id];
    conn.line = std::make_unique<LineConnection>(timers_.loop(), std::move(fd),
                                                 static_cast<LineConnection::Owner&>(*this), id);
    conn.line->start();
}

// A silent server still reads: both the bytes it would find in its buffers when it resumes, and the end of a
// connection, because a balancer that closes it has given up whether or not the server notices.
void FakeServer::on_bytes(LineConnection& line, std::string_view bytes, bool whole) {
    const uint64_t id = line.id();
    const auto it = conns_.find(id);
    if (it == conns_.end() || machine_.mode() == Mode::vanished) return;
    Conn& conn = it->second;
    if (!conn.opened) {
        if (!whole) return seen_.garbled(number_, bytes), leave(id, CloseReason::fin, true);
        return opening(conn, bytes);
    }
    // A message is answered after the queued work; balancers wait for UP before they forward one.
    if (!conn.standing) return seen_.garbled(number_, bytes);
    const std::string text = "RE " + std::string(bytes);
    if (silent()) return void(when_back_.emplace_back([this, id, text] { send_line(id, text); }));
    const TimePoint now = timers_.now();
    later(now + machine_.delay(now), [this, id, text] { send_line(id, text); });
}

void FakeServer::opening(Conn& conn, std::string_view line) {
    const uint64_t id = conn.line->id(), request = request_of(line);
    const SeenByServers::Opened opened = seen_.first_line(request, line);
    if (!opened.known) {
        seen_.garbled(number_, line);
        conn.line->send("SYNTAX\r\n");
        return leave(id, CloseReason::fin, true);
    }
    conn.opened = true;
    conn.request = request;
    conn.balancer = opened.balancer;
    seen_.attempt_began(request, number_, opened.balancer);
    seen_.attempt_ran(request, number_);
    set_up(id, timers_.now() + millis(static_cast<double>(std::max<int64_t>(1, field_of(line, "d")))));
}

void FakeServer::set_up(uint64_t id, TimePoint until) {
    if (silent()) return void(when_back_.emplace_back([this, id, until] { set_up(id, until); }));
    const auto it = conns_.find(id);
    if (it == conns_.end()) return;
    const uint64_t request = it->second.request;
    const SeenByServers::Opened o = seen_.first_line(request, {});
    const TimePoint now = timers_.now();
    const auto [how, at] =
        machine_.open(now, request, o.type, o.load, o.group, std::max(until - now, Duration{}));
    later(at, [this, id, how = how] { set_up_done(id, how); });
}

void FakeServer::set_up_done(uint64_t id, SimulatedServer::SetUp::How how) {
    if (silent()) return void(when_back_.emplace_back([this, id, how] { set_up_done(id, how); }));
    const auto it = conns_.find(id);
    if (it == conns_.end()) return;
    Conn& conn = it->second;
    using How = SimulatedServer::SetUp::How;
    if (how != How::up) {
        if (how == How::busy) seen_.attempt_rejected(conn.request, number_);
        conn.line->send(how == How::busy ? "BUSY\r\n" : "ERR\r\n");
        return leave(id, CloseReason::fin, true);
    }
    conn.standing = true;
    conn.line->send("UP " + std::to_string(conn.request) + "\r\n");
    if (!world_.tells_load) return;
    const auto opened = seen_.first_line(conn.request, {});
    conn.line->send("LOAD " + std::to_string(static_cast<int64_t>(opened.load)) + "\r\n");
}

void FakeServer::send_line(uint64_t id, std::string_view text) {
    if (silent())
        return void(when_back_.emplace_back([this, id, owned = std::string(text)] { send_line(id, owned); }));
    const auto it = conns_.find(id);
    if (it != conns_.end()) it->second.line->send(text);
}

// `by_server`: the server ends the connection; otherwise the balancer has ended it, and the server follows.
void FakeServer::leave(uint64_t id, CloseReason how, bool by_server) {
    const auto it = conns_.find(id);
    if (it == conns_.end()) return;
    Conn conn = std::move(it->second);
    conns_.erase(it);
    if (conn.opened) {
        machine_.close(timers_.now(), conn.request);
        seen_.attempt_ended(conn.request, number_, by_server);
    }
    how == CloseReason::reset ? conn.line->abort() : conn.line->finish();
    farewell_.add(std::move(conn.line));
}

void FakeServer::on_closed(LineConnection& line, CloseReason how) { leave(line.id(), how, false); }

static std::vector<uint64_t> keys_of(const auto& map) {
    std::vector<uint64_t> all;
    for (const auto& entry : map) all.push_back(entry.first);
    std::sort(all.begin(), all.end());
    return all;
}

void FakeServer::die() {
    machine_.set_mode(timers_.now(), Mode::dead);
    acceptor_.refuse();
    when_back_.clear();
    for (const uint64_t id : keys_of(conns_)) leave(id, CloseReason::reset, true);
}

void FakeServer::vanish() {
    machine_.set_mode(timers_.now(), Mode::vanished);
    acceptor_.ignore();
}

void FakeServer::hang() { machine_.set_mode(timers_.now(), Mode::hanging); }

void FakeServer::answer_again() {
    machine_.set_mode(timers_.now(), Mode::running);
    if (silent()) return;  // it has crashed in the meantime
    std::vector<std::function<void()>> owed;
    owed.swap(when_back_);
    for (const auto& what : owed) what();
}

void FakeServer::start_cold() {
    if (machine_.fell()) return;
    die();
    machine_.start_cold(timers_.now());
    acceptor_.open();
}

void FakeServer::drain() { machine_.set_mode(timers_.now(), Mode::draining); }

void FakeServer::move_part(double part) {
    std::vector<uint64_t> standing;
    for (const uint64_t id : keys_of(conns_))
        if (conns_.at(id).standing) standing.push_back(id);
    const auto moves = static_cast<size_t>(std::lround(static_cast<double>(standing.size()) * part));
    for (size_t k = 0; k < std::min(moves, standing.size()); ++k) {
        conns_.at(standing[k]).line->send("MOVE\r\n");
        leave(standing[k], CloseReason::fin, true);
    }
}

void FakeServer::look() {
    const Mode before = machine_.mode();
    machine_.work_left(timers_.now());
    if (machine_.fell() && before != Mode::dead) return die();
    if (world_.tells_delay && timers_.now() - told_at_ >= delay_beat) {
        told_at_ = timers_.now();
        tell_delay();
    }
}

// Reports a delay above a third of the tightest message objective to each balancer with a connection here, on
// its oldest connection; called once a second.
void FakeServer::tell_delay() {
    if (silent()) return;
    const double ms = to_seconds(machine_.delay(timers_.now())) * 1000;
    double least = 1e9;
    for (const scenario::RequestClassSpec& t : world_.traffic.types)
        least = std::min(least, to_seconds(t.message_objective) * 1000);
    if (ms <= least / 3) return;
    std::vector<char> told(world_.balancers);
    for (const uint64_t id : keys_of(conns_)) {
        Conn& conn = conns_.at(id);
        if (!conn.standing || conn.balancer < 0 || std::exchange(told[conn.balancer], 1)) continue;
        conn.line->send("LOAD " + std::to_string(static_cast<int64_t>(ms)) + "\r\n");
    }
}

}  // namespace headrouter::testbed
