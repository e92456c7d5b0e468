/// \file
/// The socket between the old and the new process of a hot restart, and the messages on it.
///
/// The channel is a Unix socket of type SOCK_SEQPACKET in a folder that both processes share ($TMPDIR). The
/// new process (the child) connects and sends the name of its state version. The old process (the parent)
/// answers with its listening socket and, if both versions are the same, with its state and all connections.
/// docs/operating.md has the operator's view.
#pragma once
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "hot_restart/hot_restart_error.h"
#include "transport/socket.h"

namespace headrouter {

/// The first byte of a message. The values stay as they are, because older builds send and expect them too.
enum class HotRestartMessageType : char {
    listener = 'd',           ///< parent: the listening socket
    state_part = 'p',         ///< parent: the next bytes of the state
    connections = 'c',        ///< parent: the next descriptors, in the order in which the state mentions them
    end_with_state = 'w',     ///< parent: end of the transfer, which included state and connections
    end_without_state = 'o',  ///< parent: end of the transfer, which was the listener alone
    ready = 't',              ///< child: it has restored everything
    released = 'y',           ///< parent: it no longer uses anything that it sent
    descriptors_held = 'h',   ///< parent, repeatedly later: number of descriptors it still holds, in decimal
};

/// The beginning of the child's first message; the name of its state version follows.
inline constexpr std::string_view greeting_prefix = "headrouter 1 ";

/// Holds a received message.
struct HotRestartMessage {
    std::string text;  ///< type and body; empty if the other process has closed the channel
    std::vector<Fd> descriptors;

    [[nodiscard]] bool is_end() const { return text.empty(); }
    [[nodiscard]] HotRestartMessageType type() const {
        return static_cast<HotRestartMessageType>(text.front());
    }
    [[nodiscard]] std::string_view body() const { return std::string_view(text).substr(1); }
};

/// Sends and receives messages on one end of the socket. Not thread-safe: belongs to the thread of the
/// balancer's event loop.
class HotRestartChannel {
   public:
    /// Limits of one message: well below the size of a socket buffer, and below the kernel's limit on the
    /// descriptors in one message (SCM_MAX_FD, 253).
    static constexpr size_t max_body_bytes = size_t{32} * 1024;
    static constexpr size_t max_descriptors = 128;

    HotRestartChannel() = default;
    explicit HotRestartChannel(Fd socket) : socket_(std::move(socket)) {}

    /// Returns the child's end, connected to the parent that listens at `path`; a closed channel if no
    /// process listens there.
    [[nodiscard]] static HotRestartChannel connect_to(const std::string& path);

    [[nodiscard]] bool is_open() const { return static_cast<bool>(socket_); }
    [[nodiscard]] int descriptor() const { return socket_.get(); }
    void close() { socket_.close(); }

    /// Returns whether the process at the other end runs under the same user. In a folder that is writable
    /// for other users, one of their processes could otherwise take over the clients.
    [[nodiscard]] bool is_own_user() const;

    /// Starts the deadline for the whole exchange: all following sends and waits together have to finish
    /// within exchange_timeout. Must be called before the first send() or wait_for_message().
    void begin_exchange();

    /// Sends a message, and waits up to step_timeout for space in the socket buffer. Throws
    /// HotRestartError if the other process does not read or has exited.
    void send(HotRestartMessageType type, std::string_view body = {}, std::span<const int> descriptors = {});

    /// Sends a message if the socket buffer has space for it now; drops it otherwise.
    void try_send(HotRestartMessageType type, std::string_view body);

    /// Sends the child's first message. Throws HotRestartError as send() does.
    void send_greeting(std::string_view version_name);

    /// Returns the next message without waiting: nullopt if none has arrived yet, a message with is_end() if
    /// the other process has closed the channel. Throws HotRestartError if the message exceeds the limits
    /// above.
    [[nodiscard]] std::optional<HotRestartMessage> receive();

    /// Waits for the next message. Throws HotRestartError if none arrives within step_timeout or the other
    /// process has closed the channel.
    [[nodiscard]] HotRestartMessage wait_for_message();

   private:
    void send_text(std::string text, std::span<const int> descriptors);

    [[nodiscard]] TimePoint step_deadline() const;

    Fd socket_;
    TimePoint exchange_deadline_;
};

/// Returns the path of the socket on which the balancer that listens on `listen` (HOST:PORT) waits for the
/// next process; empty if `folder` is empty or the path is too long for a Unix socket address.
[[nodiscard]] std::string hot_restart_socket_path(const std::string& folder, const std::string& listen);

/// Returns a socket on which a parent waits for the next process, accessible to this user only. An
/// existing file at `path` is removed: it was left by a process that was killed, or by the one that has
/// just handed over to this one. Throws std::system_error.
[[nodiscard]] Fd listen_for_child(const std::string& path);

/// Accepts a child on the socket that listen_for_child() returned. Returns a closed channel if no child is
/// waiting or it runs under another user.
[[nodiscard]] HotRestartChannel accept_child(const Fd& listening_socket);

}  // namespace headrouter
