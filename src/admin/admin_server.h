/// Serves the admin address: on each connection it reads one command line, sends the response and closes. Its
/// connections have a limit of their own, so that neither many clients nor idle operators block it.
#pragma once
#include <list>
#include <memory>

#include "admin/admin_commands.h"
#include "admin/counters.h"
#include "transport/event_watcher.h"
#include "transport/line_connection.h"
#include "transport/lingering_closer.h"

namespace headrouter::admin {

/// Accepts admin connections and runs their commands. Runs on the thread of the event loop; the loop, the
/// commands and the counters must outlive it.
class AdminServer : private LineConnection::Owner {
   public:
    /// Maximum number of connections: half of them may wait for a command, half may still read their
    /// response.
    static constexpr size_t max_connections = 16;

    AdminServer(struct ev_loop* loop, const AdminCommands& commands, Counters& counters);

    /// Starts to accept connections. Throws std::system_error if listening on the address fails.
    void listen(const Address& address);

    /// Sends an error to each client that has not sent a whole line in time, and closes its connection.
    /// Must be called several times a second.
    void time_out_idle(TimePoint now);

   private:
    struct Client {
        std::unique_ptr<LineConnection> connection;
        TimePoint connected_at;
    };

    void accept_pending();
    void add_client(Fd fd);
    void drop_oldest_client();
    void respond(LineConnection& connection, std::string_view line, bool is_complete);
    std::unique_ptr<LineConnection> remove_client(const LineConnection& connection);

    void on_bytes(LineConnection& connection, std::string_view line, bool is_complete) override;
    void on_closed(LineConnection& connection, CloseReason reason) override;

    struct ev_loop* loop_;
    const AdminCommands& commands_;
    Counters& counters_;
    LingeringCloser closer_;
    Fd listener_;
    IoWatcher accept_watcher_;
    TimerWatcher accept_retry_;
    std::list<Client> clients_;  // oldest first
};

}  // namespace headrouter::admin
