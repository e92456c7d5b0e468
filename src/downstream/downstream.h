/// Manages client connections from accept to the last line.
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
/// requests. Rejects clients when descriptors run out, and closes clients that do not send a request in time.
/// Must be used on the thread of its event loop.
class Downstream : public DownstreamInterface, private LineConnection::Owner {
   public:
    /// `lingering_closer` takes over the connections that are closed here. All references must outlive this
    /// object.
    Downstream(struct ev_loop*, LingeringCloser& lingering_closer, int max_descriptors, Counters&, Log&);

    /// Must be called before the event loop runs; `events` must outlive this object.
    void set_event_handler(DownstreamEvents& events) { events_ = &events; }

    /// Opens the listening socket; another process may listen on the same address. Throws std::system_error.
    void listen(const Address&);

    /// Starts to accept on `socket`, which must be listening already.
    void adopt_listener(FileDescriptor socket) { listener_.open(std::move(socket)); }

    int listener_descriptor() const { return listener_.descriptor(); }

    /// Stops or resumes accepting. While paused, new connections wait in the kernel or are accepted by
    /// another process that shares the listening socket.
    void pause_accepting(bool paused) { listener_.pause(paused); }

    /// Closes this process's descriptors of all connections without sending anything to the clients: another
    /// process has taken the connections over.
    void detach_all();

    /// Sets the maximum number of open descriptors of the whole process.
    void set_descriptor_limit(int max_descriptors);

    /// Closes lingering connections and then idle clients until `count` more descriptors may be opened, or
    /// until there is nothing left to close.
    void free_descriptors(int count);

    /// Dismisses clients whose time limit for the request line is over.
    void close_expired(TimePoint now);

    /// Dismisses, at shutdown of this process, the clients that have sent nothing, or with `all` every client
    /// without a request.
    void dismiss_idle(bool all);

    /// Answers the connections in the accept queue with BUSY. Returns false if the queue was empty.
    /// Connections that come meanwhile may be left in it.
    bool reject_backlog();

    size_t size() const { return clients_.size(); }

    /// The state, apart from descriptors, with which the next process of a hot restart continues all clients.
    struct State {
        struct TransferredClient {
            ClientStage stage = ClientStage::awaiting_request;
            TimePoint idle_since;
            bool has_probed = false;
            LineConnection::State connection;
        };

        RequestId last_id = 0;
        std::map<RequestId, TransferredClient> clients;
        std::vector<RequestId> idle_clients;  ///< those in the stage `awaiting_request`, longest idle first
    };
    State state() const;

    /// Returns the descriptors of the clients in the order of `State::clients`; the clients keep ownership.
    std::vector<int> descriptors() const;

    /// Takes over the clients of another process, before this one accepts its first client. `descriptors` are
    /// in the order of `State::clients`.
    void restore(const State& state, std::span<FileDescriptor> descriptors);

    void forward(RequestId, std::string_view bytes) override;
    void start(RequestId) override;
    void reply(RequestId, std::string_view line) override;
    void close(RequestId, CloseReason) override;
    void pause_reading(RequestId, bool paused) override;
    size_t unsent_bytes(RequestId) const override;
    void poll_now(RequestId) override;
    bool is_reset(RequestId) const override;

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
