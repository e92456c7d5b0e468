// Simulates a server without sockets: the answer to a set-up and its time, the delay of a message, and the
// failure of an overloaded cold server. Work is modelled as a fluid: work beyond the capacity adds to a
// backlog, and a message waits until the backlog before it is done. Times never go back; loads are
// microseconds of work per second.
#pragma once
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/pcg32.h"
#include "scenario/scenario.h"

namespace headrouter::scenario {

enum class Mode {
    running,
    draining,  // serves its connections, rejects new ones
    hanging,   // accepts connections and bytes, sends nothing
    dead,      // refuses connections
    vanished   // no reply at all, not even a refusal
};

class SimulatedServer {
   public:
    struct SetUp {
        enum class How { up, busy, error, silent, refused } how = How::up;
        TimePoint at;  // when the server sends the answer
    };

    SimulatedServer(const ServerKind&, const Scenario&, uint64_t seed);

    // Answers a request whose first line has arrived; `wait` is how long the balancer waits for the answer.
    SetUp open(TimePoint, uint64_t request, int type, double load, const std::string& group, Duration wait);
    bool close(TimePoint, uint64_t request);  // false if the server does not hold the request
    void set_mode(TimePoint, Mode);
    void start_cold(TimePoint);  // a new process without connections
    void set_speed(TimePoint, double part);
    void set_errors(double rate) { error_rate_ = rate; }
    void set_full(bool full) { full_ = full; }
    void change_load(TimePoint, uint64_t request, double load);
    void work_left(TimePoint now) { advance(now); }

    Mode mode() const { return mode_; }
    bool answers() const { return mode_ == Mode::running || mode_ == Mode::draining; }
    bool fell() const { return fell_; }
    Duration delay(TimePoint);  // of a message that arrives now
    double asked() const { return asked_ + group_load_ * static_cast<double>(groups_.size()); }
    double capacity(TimePoint) const;  // at that time, with slow start and set speed
    size_t connections() const { return held_.size(); }
    const std::vector<int>& by_type() const { return by_type_; }
    std::vector<uint64_t> requests() const;  // sorted by id
    TimePoint started() const { return started_; }

   private:
    struct Held {
        double load = 0;
        int type = 0;
        std::string group;
    };
    void advance(TimePoint);
    double warmth(TimePoint) const;

    const ServerKind* kind_;
    Duration setup_work_, overload_window_;
    double overload_multiple_, group_load_;
    Pcg32 chance_;
    Mode mode_ = Mode::running;
    bool cold_ = false, fell_ = false, full_ = false;
    double speed_ = 1, error_rate_;
    TimePoint started_, now_, overloaded_since_;
    bool overloaded_ = false;
    double asked_ = 0, backlog_ = 0;  // microseconds of work per second; microseconds
    double recent_setup_work_ = 0;    // microseconds of set-up work, decaying over the overload window
    std::map<uint64_t, Held> held_;
    std::map<std::string, int> groups_;
    std::vector<int> by_type_;
};

}  // namespace headrouter::scenario
