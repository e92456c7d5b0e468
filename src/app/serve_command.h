/// The command `serve`: one balancer on the default event loop, controlled by signals.
#pragma once
#include <ev.h>

#include <memory>
#include <string>

#include "admin/log.h"
#include "app/configuration.h"
#include "proxy/balancer.h"
#include "transport/clock.h"

namespace headrouter {

/// Runs the balancer until it has shut down. TERM and INT shut it down, USR1 logs the counters, USR2 turns
/// recording on and off, HUP reloads the configuration. A process must have only one at a time, because it
/// uses the default event loop.
class ServeCommand {
   public:
    /// `options` must outlive this object: a reload uses them again.
    ServeCommand(Configuration, const CommandLineOptions& options, const Clock&, Log&);

    /// Runs the event loop and returns the exit code. Throws ConfigError if the balancer cannot start.
    int run();

   private:
    void make_balancer(const BootstrapConfig&);
    void start_balancer();
    void start_without_hot_restart();
    void log_changed_counters();
    void log_counters();
    std::string printed_counters() const;
    void reload();
    void toggle_recording();
    void apply_capture_settings();

    struct ev_loop* loop_;
    Configuration configuration_;
    const CommandLineOptions& options_;
    const Clock& clock_;
    Log& log_;
    std::unique_ptr<Balancer> balancer_;
    std::string logged_counters_;  // as last written to the log
};

}  // namespace headrouter
