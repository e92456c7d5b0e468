/// The connections of clients, from the accept to the last line.
#pragma once
#include <ev.h>

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admin/counters.h"
#include "downstream/client.h"
#include "downstream/client_listener.h"
#include "downstream/client_log.h"
#include "downstream/descriptor_limit.h"
#include "downstream/downstream_interface.h"
#include "downstream/idle_clients.h"
#include "transport/lingering_closer.h"

namespace headrouter {

/// Accepts clients, answers their probes, reads their request lines, and carries the lines of established
/// requests. Clients are turned away where descriptors run out, and cut where they do not say what they want.
/// Used on the thread of its loop.
class Downstream : public DownstreamInterface, private LineConnection::Owner {
   public:
    /// `lingering_closer` gets the connections that end; it, the counters and the log must outlive this.
    Downstream(struct ev_loop*, LingeringCloser& lingering_closer, int max_descriptors, Counters&, Log&);

    /// Must be called before the loop runs; `events` must outlive this.
    void set_event_handler(DownstreamEvents& events) { events_ = &events; }

    /// Opens the listening socket, beside that of another process if there is one. Throws std::system_error.
    void listen(const Address&);

    /// Accepts on a socket that listens already.
    void adopt_listener(FileDescriptor socket) { listener_.open(std::move(socket)); }

    int listener_descriptor() const { return listener_.descriptor(); }

    /// While paused, new connections wait, or are another process's that has the listener too.
    void pause_accepting(bool paused) { listener_.pause(paused); }

    /// Closes this process's descriptors of all connections without a word: another process has them now.
    void detach_all();

    /// How many descriptors the whole process may have open.
    void set_descriptor_limit(int max_descriptors);

    /// Sees to it that `count` descriptors more may be opened, at the cost of clients that have had their
    /// last line or are idle. Where there are no more of them, fewer may.
    void free_descriptors(int count);

    /// Closes clients that have taken too long for their request line.
    void close_expired(TimePoint now);

    /// At the end of this process: dismisses clients that have sent nothing, or all without a request.
    void dismiss_idle(bool all);

    /// Answers all that wait in the listener's queue with BUSY; false where there was nobody.
    bool reject_backlog();

    size_t size() const { return clients_.size(); }

    /// What the next process needs to go on with all clients, beside their descriptors.
    struct State {
        struct TransferredClient {
            ClientStage stage = ClientStage::awaiting_request;
            TimePoint idle_since;
            bool has_probed = false;
            LineConnection::State connection;
        };

        RequestId last_id = 0;
        std::map<RequestId, TransferredClient> clients;
        std::vector<RequestId> idle_clients;  ///< those that await their request, the oldest first
    };
    State state() const;

    /// The descriptors of the clients, in the order of `State::clients`; still owned by these.
    std::vector<int> descriptors() const;

    /// Goes on with the clients of another process, before the first of its own. `descriptors` as above.
    void restore(const State& state, std::span<FileDescriptor> descriptors);

    void forward(RequestId, std::string_view bytes) override;
    void start(RequestId) override;
    void reply(RequestId, std::string_view line) override;
    void close(RequestId, CloseReason) override;
    void pause_reading(RequestId, bool paused) override;
    size_t unsent_bytes(RequestId) const override;
    void poll_now(RequestId) override;

   private:
    void on_accepted(FileDescriptor socket);
    std::unique_ptr<LineConnection> make_connection(FileDescriptor socket, RequestId);
    void add_client(FileDescriptor socket);
    void reject(FileDescriptor socket);
    bool evict_idle(const IdleClients::Grace&);
    void dismiss(RequestId, DismissalReason, std::string_view line);
    void release(RequestId);
    Client* find(RequestId);

    void on_first_line(Client&, std::string_view bytes, bool complete);
    bool answer_probe(Client&, std::string_view text);

    void on_bytes(LineConnection&, std::string_view bytes, bool complete) override;
    void on_line_begun(LineConnection&) override;
    void on_closed(LineConnection&, CloseReason) override;
    void on_output_drained(LineConnection&) override;

    struct ev_loop* loop_;
    LingeringCloser& lingering_closer_;
    Counters& counters_;
    ClientLog client_log_;
    DescriptorLimit descriptor_limit_;
    DownstreamEvents* events_ = nullptr;
    std::unordered_map<RequestId, Client> clients_;
    IdleClients idle_clients_;
    RequestId last_id_ = 0;
    ClientListener listener_;
};

}  // namespace headrouter
