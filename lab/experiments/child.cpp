#include "experiments/child.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <fstream>
#include <stdexcept>

#include "transport/clock.h"

namespace headrouter::experiments {

Child::Child(std::string program, std::string folder, const std::string& name, std::string operator_file)
    : program_(std::move(program)),
      operator_file_(std::move(operator_file)),
      config_(folder + "/" + name + ".json"),
      log_(folder + "/" + name + ".log"),
      folder_(std::move(folder)) {}

void Child::configure(const std::string& config) const { std::ofstream(config_) << config; }

// All that allocates comes before the fork: other threads may hold a lock that the child would wait for.
void Child::start(const std::string& config) {
    kill();
    configure(config);
    how_.clear();
    std::vector<std::string> words{program_, "serve", "--config", config_, "--log", "warning"};
    if (!operator_file_.empty()) words.insert(words.end(), {"--operator", operator_file_});
    std::vector<std::pair<std::string, std::string>> sets = more_;
    sets.emplace_back("TMPDIR", folder_);  // what it leaves there goes with the run
    std::vector<std::string> environment;
    for (char** at = environ; *at; ++at) {
        const std::string entry = *at, name = entry.substr(0, entry.find('='));
        const bool ours =
            name.substr(0, 6) == "PROXY_" ||
            std::any_of(sets.begin(), sets.end(), [&](const auto& s) { return s.first == name; });
        if (!ours) environment.push_back(entry);
    }
    for (const auto& [name, value] : sets) environment.push_back(name + "=" + value);
    std::vector<char*> argv, envp;
    for (std::string& word : words) argv.push_back(word.data());
    for (std::string& entry : environment) envp.push_back(entry.data());
    argv.push_back(nullptr), envp.push_back(nullptr);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("cannot start " + program_);
    if (pid_ > 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // a lab that is killed leaves nobody behind
    if (getppid() != parent) _exit(1);
    const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1), dup2(log, 2);
    execve(program_.c_str(), argv.data(), envp.data());
    _exit(127);
}

void Child::signal(int which) const {
    if (pid_ > 0) ::kill(pid_, which);
}

void Child::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    reap(true);
}

void Child::ask_to_leave() const { signal(SIGTERM); }

bool Child::ends_within(Duration patience) {
    const TimePoint until = Clock::now() + patience;
    while (pid_ > 0 && Clock::now() < until)
        if (!reap(false)) usleep(1000);
    return pid_ <= 0;
}

bool Child::reap(bool waits) {
    rusage used{};
    int status = 0;
    if (wait4(pid_, &status, waits ? 0 : WNOHANG, &used) != pid_) return false;
    for (const timeval& t : {used.ru_utime, used.ru_stime})
        cpu_ += static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    how_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit code " + std::to_string(WEXITSTATUS(status));
    pid_ = -1;
    return true;
}

std::string last_lines(const std::string& path, size_t n) {
    std::ifstream in(path);
    std::deque<std::string> last;
    for (std::string line; std::getline(in, line);) {
        last.push_back(line);
        if (last.size() > n) last.pop_front();
    }
    std::string text;
    for (const std::string& line : last) text += (text.empty() ? "" : " | ") + line;
    return text;
}

}  // namespace headrouter::experiments
