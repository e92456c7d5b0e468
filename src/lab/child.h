// A balancer in a process of its own.
#pragma once
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <string>

#include "net/clock.h"

namespace headrouter::lab {

// One balancer, life after life. Ends only the process that it started.
class Child {
   public:
    Child(std::string program, std::string folder, std::string name, std::string operator_file)
        : program_(std::move(program)),
          operator_file_(std::move(operator_file)),
          config_(folder + "/" + name + ".json"),
          log_(folder + "/" + name + ".log"),
          folder_(std::move(folder)) {}
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    ~Child() { kill(); }

    void start(const std::string& config) {
        kill();
        std::ofstream(config_) << config;
        const pid_t parent = getpid();
        pid_ = fork();
        if (pid_ < 0) throw std::runtime_error("cannot start " + program_);
        if (pid_ > 0) return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);  // a lab that is killed leaves nobody behind
        if (getppid() != parent) _exit(1);
        const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1), dup2(log, 2);
        for (const char* name :
             {"PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONFIG", "PROXY_OPS"})
            unsetenv(name);
        setenv("TMPDIR", folder_.c_str(), 1);  // what it leaves there goes with the run
        if (operator_file_.empty())
            execl(program_.c_str(), program_.c_str(), "serve", "--config", config_.c_str(), "--log",
                  "warning", static_cast<char*>(nullptr));
        else
            execl(program_.c_str(), program_.c_str(), "serve", "--config", config_.c_str(), "--log",
                  "warning", "--operator", operator_file_.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        reap(0);
    }
    void ask_to_leave() {
        if (pid_ > 0) ::kill(pid_, SIGTERM);
    }
    // Ended by itself, which no balancer does under load.
    bool crashed() { return pid_ > 0 && reap(WNOHANG); }
    bool ends_within(Span patience) {
        const Instant until = Clock::now() + patience;
        while (pid_ > 0 && Clock::now() < until)
            if (!reap(WNOHANG)) usleep(1000);
        return pid_ <= 0;
    }
    pid_t pid() const { return pid_; }
    bool runs() const { return pid_ > 0; }
    const std::string& log() const { return log_; }
    double cpu_seconds() const { return cpu_; }  // of the lives that are over

   private:
    bool reap(int how) {
        rusage used{};
        if (wait4(pid_, nullptr, how, &used) != pid_) return false;
        for (const timeval& t : {used.ru_utime, used.ru_stime})
            cpu_ += static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
        pid_ = -1;
        return true;
    }
    std::string program_, operator_file_, config_, log_, folder_;
    pid_t pid_ = -1;
    double cpu_ = 0;
};

}  // namespace headrouter::lab
