#include "testbed/fake_discovery.h"

#include <sys/socket.h>

#include <cerrno>
#include <sstream>

#include "testbed/fake_server.h"

namespace headrouter::testbed {

namespace {

constexpr Duration late_by = seconds(4), longest_watch = seconds(60);
constexpr int64_t versions_back = 40;

const char* state_word(EndpointState c) {
    return c == EndpointState::active ? "SERVING" : c == EndpointState::draining ? "DRAINING" : "DELETED";
}

}  // namespace

FakeDiscovery::FakeDiscovery(TimerQueue& timers, std::string at, std::vector<Entry> first,
                             std::function<void(const std::vector<Entry>&, bool)> told)
    : timers_(timers),
      first_(std::move(first)),
      told_(std::move(told)),
      acceptor_(timers.loop(), std::move(at), [this](Fd fd) { taken(std::move(fd)); }) {
    for (const Entry& e : first_) entries_[e.listed.server] = {version_, e};
}

FakeDiscovery::~FakeDiscovery() {
    *alive_ = false;
    for (auto& [id, request] : requests_) ev_io_stop(timers_.loop(), &request->io);
}

void FakeDiscovery::taken(Fd fd) {
    const uint64_t id = ++last_;
    auto& request = *(requests_[id] = std::make_unique<Request>());
    request.agent = this;
    request.id = id;
    request.fd = std::move(fd);
    http_parser_init(&request.parser, HTTP_REQUEST);
    request.parser.data = &request;
    ev_io_init(
        &request.io,
        [](struct ev_loop*, ev_io* w, int) {
            auto* c = static_cast<Request*>(w->data);
            c->agent->readable(c->id);
        },
        request.fd.get(), EV_READ);
    request.io.data = &request;
    ev_io_start(timers_.loop(), &request.io);
}

void FakeDiscovery::drop(uint64_t id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    ev_io_stop(timers_.loop(), &it->second->io);
    if (it->second->waiting) --watches_, timers_.cancel(it->second->over);
    requests_.erase(it);
}

void FakeDiscovery::readable(uint64_t id) {
    static const http_parser_settings hooks = [] {
        http_parser_settings h;
        http_parser_settings_init(&h);
        h.on_url = [](http_parser* p, const char* bytes, size_t n) {
            static_cast<Request*>(p->data)->url.append(bytes, n);
            return 0;
        };
        h.on_message_complete = [](http_parser* p) {
            static_cast<Request*>(p->data)->complete = true;
            return 0;
        };
        return h;
    }();
    Request& request = *requests_.at(id);
    char bytes[4096];
    const ssize_t n = recv(request.fd.get(), bytes, sizeof bytes, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) return drop(id);
    if (http_parser_execute(&request.parser, &hooks, bytes, static_cast<size_t>(n)) != static_cast<size_t>(n))
        return drop(id);
    if (!request.complete) return;
    request.complete = false;
    asked(request);
}

void FakeDiscovery::asked(Request& request) {
    ++asked_;
    const std::string url = std::exchange(request.url, {});
    const size_t question = url.find('?');
    std::string query = question == std::string::npos ? "" : "," + url.substr(question + 1);
    for (char& c : query)
        if (c == '&') c = ',';
    const int64_t since = field_of(query, "since"), wait = field_of(query, "timeout_ms");
    const uint64_t id = request.id;
    if (manner_ == Manner::silent) return;
    if (manner_ == Manner::late)
        return void(timers_.in(late_by, [this, id, alive = alive_] {
            if (*alive) answer(id, 0, true);
        }));
    if (manner_ == Manner::garbled || manner_ == Manner::back || since < 0 || wait <= 0 || since != version_)
        return answer(id, since, since < 0);
    request.waiting = true;
    request.since = since;
    ++watches_;
    request.over =
        timers_.in(std::min(longest_watch, millis(static_cast<double>(wait))), [this, id, alive = alive_] {
            const auto it = *alive ? requests_.find(id) : requests_.end();
            if (!*alive || it == requests_.end()) return;
            it->second->waiting = false;
            --watches_;
            answer(id, it->second->since, false);
        });
}

std::string FakeDiscovery::body(int64_t version, bool whole, const std::vector<Entry>& entries) {
    std::ostringstream o;
    o << R"({"generation":)" << version << R"(,"reset":)" << (whole ? "true" : "false")
      << R"(,"instances":[)";
    for (size_t k = 0; k < entries.size(); ++k) {
        const Endpoint& l = entries[k].listed;
        o << (k ? "," : "") << R"({"instanceId":")" << l.server << R"(","hostPort":")" << entries[k].host_port
          << R"(","zone":"z)" << l.zone << R"(","machineType":"m","cell":)" << l.cell << R"(,"lifecycle":")"
          << state_word(l.state) << R"(","weight":)" << l.weight << R"(,"startedAtMs":)"
          << entries[k].started_unix_ms << "}";
    }
    o << "]}";
    return o.str();
}

void FakeDiscovery::answer(uint64_t id, int64_t since, bool whole) {
    if (manner_ == Manner::silent) return;
    if (manner_ == Manner::garbled) {
        const std::string sound = body(version_, true, first_);
        switch (garbled_++ % 3) {
            case 0: return write(id, sound.substr(0, sound.size() / 2));
            case 1: return write(id, R"({"generation":"soon","reset":1,"instances":{}})");
            default: break;
        }
        const auto it = requests_.find(id);
        if (it == requests_.end()) return;
        ::send(it->second->fd.get(), "NO SUCH THING\r\n\r\n", 17, MSG_NOSIGNAL);
        return drop(id);
    }
    if (manner_ == Manner::back) {
        write(id, body(version_ - versions_back, true, first_));
        return told_(first_, true);
    }
    std::vector<Entry> entries;
    for (const auto& [name, entry] : entries_)
        if (whole ? entry.second.listed.state != EndpointState::removed : entry.first > since)
            entries.push_back(entry.second);
    write(id, body(version_, whole, entries));
    if (whole || !entries.empty()) told_(entries, whole);
}

void FakeDiscovery::write(uint64_t id, const std::string& text) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    const std::string all = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(text.size()) + "\r\n\r\n" + text;
    // A few kilobytes fit into the socket's buffer; if they do not, the peer is not reading, and is dropped.
    if (::send(it->second->fd.get(), all.data(), all.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(all.size()))
        drop(id);
}

void FakeDiscovery::change(const Entry& entry) {
    entries_[entry.listed.server] = {++version_, entry};
    if (manner_ != Manner::sound) return;
    std::vector<uint64_t> waiting;
    for (const auto& [id, request] : requests_)
        if (request->waiting) waiting.push_back(id);
    for (const uint64_t id : waiting) {
        Request& request = *requests_.at(id);
        request.waiting = false;
        --watches_;
        timers_.cancel(request.over);
        answer(id, request.since, false);
    }
}

// Drops the open connections, so that balancers ask again and get answers in the new manner; a silent agent
// keeps them open.
void FakeDiscovery::set_manner(Manner manner) {
    if (manner_ == manner) return;
    manner_ = manner;
    std::vector<uint64_t> all;
    for (const auto& [id, request] : requests_)
        if (request->waiting || manner != Manner::silent) all.push_back(id);
    if (manner == Manner::silent) return;
    for (const uint64_t id : all) drop(id);
}

}  // namespace headrouter::testbed
