// A balancer in a process of its own.
#pragma once
#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace headrouter::experiments {

// One balancer, life after life. Ends only the process that it started. Is started from the thread that
// outlives it: the kernel kills it with that one, also one that is stopped.
class Child {
   public:
    Child(std::string program, std::string folder, const std::string& name, std::string operator_file);
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    ~Child() { kill(); }

    // In the environment of lives to come, such as a library to be loaded.
    void set_environment(std::vector<std::pair<std::string, std::string>> more) { more_ = std::move(more); }
    void start(const std::string& config);
    void configure(const std::string& config) const;  // for the next SIGHUP
    void signal(int which) const;
    void kill();
    void ask_to_leave() const;
    // Ended by itself, which no balancer does under load.
    bool crashed() { return pid_ > 0 && reap(false); }
    bool ends_within(Duration patience);
    pid_t pid() const { return pid_; }
    bool runs() const { return pid_ > 0; }
    const std::string& log() const { return log_; }
    std::string ended_how() const { return how_; }  // "signal 11", "exit code 1"; empty while it runs
    double cpu_seconds() const { return cpu_; }     // of the lives that are over

   private:
    bool reap(bool waits);
    std::string program_, operator_file_, config_, log_, folder_, how_;
    std::vector<std::pair<std::string, std::string>> more_;
    pid_t pid_ = -1;
    double cpu_ = 0;
};

// The last lines of a log, for whoever asks why its process ended.
std::string last_lines(const std::string& path, size_t n);

}  // namespace headrouter::experiments
