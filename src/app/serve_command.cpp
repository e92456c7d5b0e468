#include "app/serve_command.h"

#include <csignal>
#include <sstream>
#include <utility>

#include "transport/event_watcher.h"

namespace headrouter {

namespace {
constexpr Duration counters_interval = seconds(10);
}  // namespace

ServeCommand::ServeCommand(Configuration configuration, const CommandLineOptions& options, const Clock& clock,
                           Log& log)
    : loop_(ev_default_loop(EVFLAG_AUTO)),
      configuration_(std::move(configuration)),
      options_(options),
      clock_(clock),
      log_(log) {}

int ServeCommand::run() {
    std::signal(SIGPIPE, SIG_IGN);
    // Until the loop runs, SIGHUP must not end a balancer that is still starting.
    std::signal(SIGHUP, SIG_IGN);
    make_balancer(configuration_.bootstrap);
    const auto shut_down = [this] { balancer_->begin_graceful_shutdown(); };
    const SignalWatcher on_terminate(loop_, SIGTERM, shut_down);
    const SignalWatcher on_interrupt(loop_, SIGINT, shut_down);
    const SignalWatcher on_user_1(loop_, SIGUSR1, [this] { log_counters(); });
    const SignalWatcher on_user_2(loop_, SIGUSR2, [this] { toggle_recording(); });
    const SignalWatcher on_hang_up(loop_, SIGHUP, [this] { reload(); });
    start_balancer();
    TimerWatcher counters_timer(loop_, [this] { log_changed_counters(); });
    counters_timer.start_repeating(counters_interval);
    ev_run(loop_, 0);
    log_counters();
    return 0;
}

void ServeCommand::make_balancer(const BootstrapConfig& config) {
    balancer_.reset();  // before the new one is created, because the old one occupies the listening addresses
    balancer_ = std::make_unique<Balancer>(loop_, config, clock_, log_);
    apply_capture_settings();
}

void ServeCommand::start_balancer() {
    try {
        balancer_->start();
    } catch (const HotRestartError& error) {
        log_.warning("hot_restart_failed", {{"error", error.what()}, {"fallback", "starting alone"}});
        start_without_hot_restart();
    }
}

// Both processes then listen until the previous one is shut down.
void ServeCommand::start_without_hot_restart() {
    BootstrapConfig alone = configuration_.bootstrap;
    alone.runtime_folder.clear();
    make_balancer(alone);
    balancer_->start();
}

// Logs at each interval, so that the log of a killed process lacks at most the counts of its last interval.
void ServeCommand::log_changed_counters() {
    if (log_.writes(LogLevel::info) && printed_counters() != logged_counters_) log_counters();
}

void ServeCommand::log_counters() {
    logged_counters_ = printed_counters();
    log_.info() << "counters " << logged_counters_;
}

std::string ServeCommand::printed_counters() const {
    std::ostringstream counters;
    balancer_->counters().print(counters);
    return counters.str();
}

// Reads both files before applying either, so that an invalid file leaves the running configuration
// unchanged.
void ServeCommand::reload() {
    try {
        Configuration next = load_configuration(options_, clock_, LoadReason::reload);
        balancer_->reload(next.bootstrap);
        configuration_ = std::move(next);
    } catch (const ParseError& error) {
        balancer_->refuse_reload(error.what());
        return;
    }
    configure_log(log_, configuration_.operator_config);
    apply_capture_settings();
}

void ServeCommand::toggle_recording() {
    const auto& capture = configuration_.operator_config.capture;
    if (!capture)
        log_.warning("recording_unavailable",
                     {{"reason", "the operator's file has no [capture] table with a folder"}});
    else if (balancer_->is_recording())
        balancer_->stop_recording();
    else
        balancer_->start_recording(capture->recorder);
}

// A running recording is restarted, so that changed limits apply to it.
void ServeCommand::apply_capture_settings() {
    const auto& capture = configuration_.operator_config.capture;
    if (capture && (capture->on || balancer_->is_recording()))
        balancer_->start_recording(capture->recorder);
    else
        balancer_->stop_recording();
}

}  // namespace headrouter
