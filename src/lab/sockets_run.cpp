#include "lab/sockets_run.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "net/clock.h"
#include "standin/rig.h"

namespace headrouter::lab {
using namespace fleet;

namespace {

constexpr Span start_patience = seconds(10), end_patience = seconds(4), settling = millis(300);

// One balancer, life after life. Ends only the process that it started.
class Child {
   public:
    Child(std::string program, std::string folder, std::string name, std::string operator_file)
        : program_(std::move(program)),
          operator_file_(std::move(operator_file)),
          config_(folder + "/" + name + ".json"),
          log_(folder + "/" + name + ".log") {}
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
        for (const char* name : {"PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONFIG"})
            unsetenv(name);
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
    std::string program_, operator_file_, config_, log_;
    pid_t pid_ = -1;
    double cpu_ = 0;
};

struct Folder {
    std::string path;
    bool own;
    explicit Folder(const std::string& wanted) : path(wanted), own(wanted.empty()) {
        if (own) {
            std::string form = (std::filesystem::temp_directory_path() / "headrouter-lab-XXXXXX").string();
            if (!mkdtemp(form.data())) throw std::runtime_error("cannot make a folder for the run");
            path = form;
        } else {
            std::filesystem::create_directories(path);
        }
    }
    ~Folder() {
        std::error_code ignored;
        if (own) std::filesystem::remove_all(path, ignored);
    }
};

std::string last_line(const std::string& path) {
    std::ifstream in(path);
    std::string line, last;
    while (std::getline(in, line)) last = line;
    return last;
}

}  // namespace

int descriptors_needed(const World& w) {
    double share = 0, load = 0, hold = 0;
    for (const TypeRow& t : w.traffic.types) {
        share += t.share;
        hold += t.share * in_seconds(t.hold);
        load += t.share * t.load * 1000 * in_seconds(t.hold);
    }
    const double standing = w.traffic.use * capacity_of(w) * hold / load;
    return static_cast<int>(standing * 3) + w.servers * 8 + w.balancers * 8 +
           200;  // with what comes back at once
}

Outcome run_on_sockets(const World& w, const std::string& arm, uint64_t seed, const std::string& program,
                       const std::atomic<bool>* stop, const Extras& extras) {
    const auto began = std::chrono::steady_clock::now();
    Outcome out;
    out.arm = arm;
    out.on = "sockets";
    out.seed = seed;
    const auto ended = [&]() -> Outcome& {
        out.wall_seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        return out;
    };
    if (const int has = standin::raise_descriptors(); has < descriptors_needed(w)) {
        out.partial = true;
        out.rules.resize(static_cast<size_t>(Rule::how_many));
        out.not_judged = "the lab needs " + std::to_string(descriptors_needed(w)) + " descriptors and has " +
                         std::to_string(has);
        return ended();
    }
    std::signal(SIGPIPE, SIG_IGN);
    if (access(program.c_str(), X_OK) != 0) throw std::runtime_error("'" + program + "' cannot be run");
    const Folder folder(extras.log_folder);
    struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
    {
        standin::Rig rig(loop, w, seed, out);
        std::vector<std::unique_ptr<Child>> children;
        for (int b = 0; b < w.balancers; ++b) {
            children.push_back(
                std::make_unique<Child>(program, folder.path, rig.seat(b).name, extras.operator_file));
            children[b]->start(rig.fresh_config(b));
        }
        const auto turn = [&] { ev_run(loop, EVRUN_ONCE); };
        ev_timer beat;  // the loop comes back at least so often, to see what is not an event of its own
        ev_timer_init(
            &beat, [](struct ev_loop*, ev_timer*, int) {}, 0.02, 0.02);
        ev_timer_start(loop, &beat);
        const auto stopped = [&] { return stop && stop->load(); };
        const Instant give_up = Clock::now() + start_patience;
        for (int b = 0; b < w.balancers && !stopped(); ++b)
            while (!rig.ready(b) && !stopped()) {
                turn();
                if (children[b]->crashed())
                    throw std::runtime_error("a balancer ended: " + last_line(children[b]->log()));
                if (Clock::now() > give_up) throw std::runtime_error("a balancer is not ready after 10 s");
            }
        rig.begin(
            {[&](int b) { children[b]->start(rig.fresh_config(b)); }, [&](int b) { children[b]->kill(); }});
        std::string crash;
        size_t told = 0;
        while (!rig.finished() && !stopped()) {
            turn();
            for (; extras.each && told + 1 < out.asked_each.size(); ++told)
                extras.each(told, out, rig.crowd().up());
            for (auto& child : children)
                if (child->crashed()) crash = "a balancer ended by itself: " + last_line(child->log());
        }
        out.partial = stopped() && !rig.finished();
        rig.crowd().stop();
        const Instant settled = Clock::now() + settling;  // what is on its way gets there
        while (Clock::now() < settled) turn();
        rig.finish();
        if (!crash.empty()) {
            out.examples.push_back(crash);
            ++out.rules[static_cast<size_t>(Rule::call_lost)];
        }
        for (auto& child : children) child->ask_to_leave();
        const Instant last = Clock::now() + end_patience;
        for (auto& child : children)
            while (child->runs() && !child->crashed() && Clock::now() < last) turn();
        for (auto& child : children) {
            child->kill();
            if (extras.cpu_seconds) *extras.cpu_seconds += child->cpu_seconds();
        }
        ev_timer_stop(loop, &beat);
    }
    ev_loop_destroy(loop);
    return ended();
}

}  // namespace headrouter::lab
