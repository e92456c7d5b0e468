// Fakes the discovery agent on one balancer's machine: full endpoint lists, watches, and their faults. Each
// balancer has its own agent, as on the platform; a list written to the socket counts as received.
#pragma once
#include <http_parser.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "policy/balancing_policy.h"
#include "testbed/acceptor.h"
#include "testbed/timer_queue.h"
#include "transport/line_connection.h"

namespace headrouter::testbed {

struct Entry {
    Endpoint listed;
    std::string host_port;
    int64_t started_unix_ms = 0;
};

class FakeDiscovery {
   public:
    enum class Manner {
        sound,
        silent,   // accepts requests, does not answer
        garbled,  // alternates between malformed lists, truncated answers and answers that are not HTTP
        late,     // answers long after the watch has timed out
        back      // serves the initial list, at a version before the current one
    };
    // `told` is called with the entries that were just written to the balancer.
    FakeDiscovery(TimerQueue&, std::string at, std::vector<Entry> first,
                  std::function<void(const std::vector<Entry>&, bool whole)> told);
    ~FakeDiscovery();
    FakeDiscovery(const FakeDiscovery&) = delete;
    FakeDiscovery& operator=(const FakeDiscovery&) = delete;

    void change(const Entry&);
    void set_manner(Manner);
    int64_t version() const { return version_; }
    int watches() const { return watches_; }
    uint64_t asked() const { return asked_; }

   private:
    struct Request {
        FakeDiscovery* agent = nullptr;
        uint64_t id = 0;
        Fd fd;
        ev_io io{};
        http_parser parser{};
        std::string url, out;
        bool waiting = false, complete = false;
        int64_t since = 0;
        TimerQueue::Ticket over{};
    };
    void taken(Fd);
    void readable(uint64_t id);
    void asked(Request&);
    void answer(uint64_t id, int64_t since, bool whole);
    void write(uint64_t id, const std::string& text);
    void drop(uint64_t id);
    static std::string body(int64_t version, bool whole, const std::vector<Entry>&);

    TimerQueue& timers_;
    std::vector<Entry> first_;
    std::map<ServerId, std::pair<int64_t, Entry>> entries_;  // each with the version of its latest change
    std::function<void(const std::vector<Entry>&, bool)> told_;
    Manner manner_ = Manner::sound;
    int64_t version_ = 100;
    int watches_ = 0;
    uint64_t asked_ = 0, last_ = 0, garbled_ = 0;
    std::map<uint64_t, std::unique_ptr<Request>> requests_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Acceptor acceptor_;
};

}  // namespace headrouter::testbed
