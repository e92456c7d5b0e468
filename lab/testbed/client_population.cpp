#include "testbed/client_population.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>

#include "transport/line_text.h"

namespace headrouter::testbed {
using namespace scenario;

namespace {
constexpr Duration remembered = seconds(30), connect_patience = seconds(1);
constexpr Duration soon_after =
    seconds(0.1);  // the operators' limit on sending attempts for a client that has left
}  // namespace

ClientPopulation::ClientPopulation(TimerQueue& timers, const Scenario& world, std::vector<Session> sessions,
                                   uint64_t seed, InvariantChecker& checker, Outcome& out)
    : timers_(timers),
      world_(world),
      sessions_(std::move(sessions)),
      chance_(seed, 31),
      checker_(checker),
      out_(out),
      farewell_(timers.loop()),
      clients_(sessions_.size()) {}

ClientPopulation::~ClientPopulation() { *alive_ = false; }

void ClientPopulation::add_balancer(std::string at) {
    balancers_.emplace_back(std::move(at));
    balancers_.back().share = traffic_shares(world_)[balancers_.size() - 1];
}

void ClientPopulation::reach_by(int balancer, const std::string& at) {
    balancers_[balancer].address = *Address::from(at);
}

void ClientPopulation::start() {
    for (size_t who = 0; who < sessions_.size(); ++who) {
        clients_[who].patience.emplace(world_.traffic, sessions_[who].until);
        timers_.at(sessions_[who].from, [this, who, alive = alive_] {
            if (*alive) connect_session(who);
        });
        timers_.at(sessions_[who].until, [this, who, alive = alive_] {
            if (*alive) end_session(who);
        });
    }
}

int ClientPopulation::choose(int zone) {
    double near = 0, all = 0;
    const auto is_near = [&](size_t b) { return static_cast<int>(b) % world_.zones == zone; };
    for (size_t b = 0; b < balancers_.size(); ++b)
        if (balancers_[b].sends) all += balancers_[b].share, near += is_near(b) ? balancers_[b].share : 0;
    double pick = chance_.uniform() * (near > 0 ? near : all);
    for (size_t b = 0; b < balancers_.size(); ++b)
        if (balancers_[b].sends && (near <= 0 || is_near(b)) && balancers_[b].share > 0 &&
            (pick -= balancers_[b].share) <= 0)
            return static_cast<int>(b);
    return -1;
}

std::string ClientPopulation::opening(const Client& c, const Session& s) const {
    char id[20];
    std::snprintf(id, sizeof id, "%016lx", static_cast<unsigned long>(c.request));
    const RequestClassSpec& row = world_.traffic.types[s.type];
    std::string line = "OPEN " + std::string(id) + " " + s.key + " c=" + row.name + ",t=t" +
                       std::to_string(s.tenant) + ",d=" + std::to_string(row.deadline.ns / 1'000'000);
    if (!s.group.empty()) line += ",g=" + s.group;
    if (c.is_reconnect) line += ",again=1";
    return line + "\r\n";
}

void ClientPopulation::connect_session(size_t who) {
    Client& c = clients_[who];
    const Session& s = sessions_[who];
    if (stopped_ || c.state != Client::State::away || timers_.now() >= s.until) return;
    const int b = choose(s.zone);
    if (b < 0) return away(who, c.patience->after_failure(timers_.now(), chance_));
    Fd fd = connect_to(balancers_[b].address);
    if (!fd) {
        // The balancer must not be blamed if the test bed itself runs out of descriptors.
        if (errno == EMFILE || errno == ENFILE) short_of_ = "descriptors";
        if (errno == EADDRNOTAVAIL || errno == EAGAIN) short_of_ = "ports";
        return away(who, c.patience->after_failure(timers_.now(), chance_));
    }
    c.request = request_id(s.number, ++c.tries);
    c.balancer = b;
    c.state = Client::State::connecting;
    c.unanswered_messages.clear();
    c.last_delay = Duration{};
    c.moved = false;
    c.line = std::make_unique<LineConnection>(timers_.loop(), std::move(fd),
                                              static_cast<LineConnection::Owner&>(*this), who);
    c.line->start_connecting();
    timers_.in(connect_patience, [this, who, request = c.request, alive = alive_] {
        if (!*alive || clients_[who].request != request || clients_[who].state != Client::State::connecting)
            return;
        hang_up(who);
        away(who, clients_[who].patience->after_failure(timers_.now(), chance_));
    });
}

void ClientPopulation::on_connected(LineConnection& line) {
    const size_t who = line.id();
    Client& c = clients_[who];
    const Session& s = sessions_[who];
    c.state = Client::State::asking;
    const std::string text = opening(c, s);
    {
        const std::lock_guard held(book_);
        sent_[c.request] = {who, c.balancer, text, false, -1, {}};
    }
    c.opened = timers_.now();
    checker_.opened(c.opened, c.request, s.type, c.balancer);  // before any server can report the request
    line.send(text);
    timers_.in(world_.traffic.types[s.type].deadline + millis(50),
               [this, who, request = c.request, alive = alive_] {
                   if (*alive) on_guard_time_elapsed(who, request);
               });
}

void ClientPopulation::on_guard_time_elapsed(size_t who, uint64_t request) {
    Client& c = clients_[who];
    if (c.request != request || c.state != Client::State::asking) return;
    checker_.client_left(request, true);
    leaves_waiting(c);
    hang_up(who);
    away(who, c.patience->after_failure(timers_.now(), chance_));
}

void ClientPopulation::on_bytes(LineConnection& line, std::string_view bytes, bool whole) {
    const size_t who = line.id();
    Client& c = clients_[who];
    const std::string_view text = trim_line_end(bytes);
    if (c.state == Client::State::asking) return answered(who, text);
    if (c.state != Client::State::up || !whole) return void(++garbled_);
    if (c.moved) return checker_.line_after_answer(timers_.now(), c.request);
    if (text.substr(0, 3) == "RE ") {
        if (c.unanswered_messages.empty()) return void(++garbled_);
        c.last_delay = timers_.now() - c.unanswered_messages.front();
        c.unanswered_messages.pop_front();
        return checker_.message(sessions_[who].type, c.last_delay);
    }
    if (text.substr(0, 3) == "UP ")
        return checker_.answered(timers_.now(), c.request, Answer::up);  // reports the repeated UP
    if (text == "MOVE") return void(c.moved = true);
    if (text.substr(0, 5) != "LOAD " && text != "BYE") ++garbled_;
}

void ClientPopulation::answered(size_t who, std::string_view text) {
    Client& c = clients_[who];
    const TimePoint now = timers_.now();
    if (text.substr(0, 3) == "UP ") {
        checker_.answered(now, c.request, Answer::up);
        ++out_.up;
        out_.up_in_time += now - c.opened <= world_.traffic.types[sessions_[who].type].setup_objective;
        c.state = Client::State::up;
        c.patience->came_up();
        const Duration every = world_.traffic.types[sessions_[who].type].message_every;
        timers_.in(every * chance_.uniform(), [this, who, request = c.request, alive = alive_] {
            if (*alive) send_message(who, request);
        });
        return;
    }
    const bool busy = text.substr(0, 4) == "BUSY";
    checker_.answered(now, c.request, busy ? Answer::busy : Answer::failed);
    ++(busy ? out_.busy : out_.failed);
    int64_t ms = 0;
    if (busy && text.size() > 5) std::from_chars(text.data() + 5, text.data() + text.size(), ms);
    if (c.line->bytes_after_line() > 0) checker_.line_after_answer(now, c.request);
    hang_up(who);
    away(who, busy ? c.patience->after_busy(now, millis(static_cast<double>(ms)), chance_)
                   : c.patience->after_failure(now, chance_));
}

void ClientPopulation::send_message(size_t who, uint64_t request) {
    Client& c = clients_[who];
    if (c.request != request || c.state != Client::State::up || c.moved) return;
    c.unanswered_messages.push_back(timers_.now());
    c.line->send("SAY " + std::to_string(c.unanswered_messages.size()) + "\r\n");
    timers_.in(world_.traffic.types[sessions_[who].type].message_every, [this, who, request, alive = alive_] {
        if (*alive) send_message(who, request);
    });
}

void ClientPopulation::on_closed(LineConnection& line, CloseReason) {
    const size_t who = line.id();
    Client& c = clients_[who];
    const TimePoint now = timers_.now();
    const Client::State was = c.state;
    if (was == Client::State::asking) checker_.answered(now, c.request, Answer::ended);
    if (was == Client::State::up) {
        bool by_server = false;
        int server = -1;
        {
            const std::lock_guard held(book_);
            const auto sent = sent_.find(c.request);
            if (sent != sent_.end()) by_server = sent->second.ended_by_server, server = sent->second.server;
        }
        if (!c.moved && !by_server)
            checker_.cut(now, c.request, server >= 0 && (!answers_ || answers_(server)));
        checker_.answered(now, c.request, Answer::ended);
        ++(c.moved ? out_.moved : out_.broken);
        c.is_reconnect = true;
    }
    hang_up(who);
    away(who, was == Client::State::up ? c.patience->after_break(now, chance_)
                                       : c.patience->after_failure(now, chance_));
}

void ClientPopulation::away(size_t who, std::optional<TimePoint> is_reconnect) {
    Client& c = clients_[who];
    c.state = Client::State::away;
    if (is_reconnect && !stopped_)
        return void(timers_.at(*is_reconnect, [this, who, alive = alive_] {
            if (*alive) connect_session(who);
        }));
    out_.gave_up += c.patience->gave_up();
    c.state = Client::State::over;
    ++over_;
}

void ClientPopulation::hang_up(size_t who) {
    Client& c = clients_[who];
    if (!c.line) return;
    c.line->finish();
    farewell_.add(std::move(c.line));
    const std::lock_guard held(book_);
    old_.emplace_back(timers_.now(), c.request);
    while (!old_.empty() && timers_.now() - old_.front().first > remembered) {
        sent_.erase(old_.front().second);
        old_.pop_front();
    }
}

void ClientPopulation::leaves_waiting(const Client& c) {
    if (c.state != Client::State::asking) return;
    ++out_.left_waiting;
    const std::lock_guard held(book_);
    if (const auto it = sent_.find(c.request); it != sent_.end()) it->second.left = timers_.now();
}

void ClientPopulation::end_session(size_t who) {
    Client& c = clients_[who];
    if (c.state == Client::State::over) return;
    if (c.state == Client::State::asking || c.state == Client::State::up)
        checker_.client_left(c.request, false);
    leaves_waiting(c);
    hang_up(who);
    c.state = Client::State::over;
    ++over_;
}

void ClientPopulation::balancer_dies(int balancer) {
    checker_.balancer_died(balancer);
    const std::lock_guard held(book_);
    for (auto& [request, sent] : sent_)
        if (sent.balancer == balancer)
            sent.ended_by_server = true;  // no rule is broken by this lost connection
}

void ClientPopulation::drop(double part) {
    for (size_t who = 0; who < clients_.size(); ++who) {
        Client& c = clients_[who];
        const bool waits = c.state == Client::State::asking;
        if ((c.state != Client::State::up && !waits) || chance_.uniform() >= part) continue;
        checker_.client_left(c.request, false);
        leaves_waiting(c);
        hang_up(who);
        c.is_reconnect = c.is_reconnect || !waits;
        away(who, c.patience->after_break(timers_.now(), chance_));
    }
}

void ClientPopulation::stop() {
    if (!std::exchange(stopped_, true)) out_.attempts += attempts_, out_.sent_after_left += sent_after_left_;
    for (size_t who = 0; who < clients_.size(); ++who) end_session(who);
}

size_t ClientPopulation::up() const {
    return static_cast<size_t>(std::count_if(clients_.begin(), clients_.end(),
                                             [](const Client& c) { return c.state == Client::State::up; }));
}

// As in the model: the connection is established, and as far as the client can tell, a message sent now would
// be answered in time.
bool ClientPopulation::served(const Client& c, const RequestClassSpec& row, TimePoint now) {
    if (c.state != Client::State::up || !well_served(row, c.last_delay)) return false;
    return c.unanswered_messages.empty() || now - c.unanswered_messages.front() <= row.message_objective;
}

void ClientPopulation::sample() {
    const TimePoint now = timers_.now();
    double asked = 0, served_now = 0;
    for (size_t who = 0; who < clients_.size(); ++who) {
        const Session& s = sessions_[who];
        if (now < s.from) break;  // sorted by start time
        if (now >= s.until) continue;
        const RequestClassSpec& row = world_.traffic.types[s.type];
        asked += row.revenue;
        if (served(clients_[who], row, now)) served_now += row.revenue;
    }
    out_.sample(world_, now, asked, served_now);
}

// ---- events reported by the servers ----

// The line must equal the client's, except for the deadline, which the balancer may shorten.
SeenByServers::Opened ClientPopulation::first_line(uint64_t request, std::string_view line) {
    const std::lock_guard held(book_);
    const auto it = sent_.find(request);
    if (it == sent_.end()) return {};
    const Session& s = sessions_[it->second.who];
    Opened o{false, s.type, it->second.balancer, s.load, s.group};
    const auto without_wait = [](std::string_view text) {
        const size_t from = text.find(",d="), to = text.find_first_of(",\r", from + 1);
        return std::string(text.substr(0, from)) + std::string(text.substr(to));
    };
    o.known = line.empty() || (line.find(",d=") != std::string_view::npos &&
                               without_wait(line) == without_wait(it->second.line));
    return o;
}

void ClientPopulation::attempt_began(uint64_t request, int server, int balancer) {
    ++attempts_;
    {
        const std::lock_guard held(book_);
        if (const auto it = sent_.find(request); it != sent_.end()) {
            it->second.server = server;
            const TimePoint left = it->second.left;
            sent_after_left_ += left.ns != 0 && timers_.now() - left > soon_after;
        }
    }
    checker_.attempt_began(timers_.now(), request, server, balancer);
}
void ClientPopulation::attempt_ran(uint64_t request, int server) {
    checker_.attempt_ran(timers_.now(), request, server);
}
void ClientPopulation::attempt_rejected(uint64_t request, int server) {
    checker_.attempt_rejected(request, server);
}
void ClientPopulation::attempt_ended(uint64_t request, int server, bool by_server) {
    {
        const std::lock_guard held(book_);
        const auto it = sent_.find(request);
        if (by_server && it != sent_.end()) it->second.ended_by_server = true;
    }
    checker_.attempt_ended(timers_.now(), request, server);
}
void ClientPopulation::garbled(int, std::string_view) { ++garbled_; }

}  // namespace headrouter::testbed
