/// The admin address: one connection for each command, one line in, the response out, then the end. Its
/// connections are its own and bounded, so that neither a crowd of clients nor idle operators block it.
#pragma once
#include <list>
#include <memory>

#include "admin/admin_commands.h"
#include "admin/counters.h"
#include "transport/event_watcher.h"
#include "transport/line_connection.h"
#include "transport/lingering_closer.h"

namespace headrouter::admin {

/// Runs on the thread of the event loop, which it must not outlive; commands and counters outlive it.
class AdminServer : private LineConnection::Owner {
   public:
    /// Connections at most: half of them wait for a command, half still read their responses.
    static constexpr size_t max_connections = 16;

    AdminServer(struct ev_loop* loop, const AdminCommands& commands, Counters& counters);

    /// Throws std::system_error where the address cannot be listened on.
    void listen(const Address& address);

    /// Answers with an error whoever has not sent a whole line in time; called several times a second.
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
    std::list<Client> clients_;  // the oldest first
};

}  // namespace headrouter::admin
