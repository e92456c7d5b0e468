/// \file
/// The socket between the old and the new process of a hot restart, and the messages on it.
///
/// A Unix socket of sequenced packets in a folder that both processes share ($TMPDIR). The new process (the
/// child) connects and names the version of its state's form; the old one (the parent) answers with its
/// listener and, where the versions are the same, with its state and all connections. docs/operating.md has
/// the operator's view.
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

/// The first byte of a message; the bytes are those of the builds before this one.
enum class HotRestartMessageType : char {
    listener = 'd',           ///< parent: the listening socket
    state_part = 'p',         ///< parent: the next bytes of the state
    connections = 'c',        ///< parent: the next descriptors, in the order in which the state mentions them
    end_with_state = 'w',     ///< parent: that was all, with state and connections
    end_without_state = 'o',  ///< parent: that was all, the listener alone
    ready = 't',              ///< child: everything was restored
    released = 'y',           ///< parent: it has let go of everything that it sent
    descriptors_held = 'h',  ///< parent, from then on: how many descriptors it still holds, in decimal digits
};

/// What the child says first; the name of its state's version follows.
inline constexpr std::string_view greeting_prefix = "headrouter 1 ";

/// A message as it was received.
struct HotRestartMessage {
    std::string text;  ///< type and body; empty where the other side has closed the channel
    std::vector<Fd> descriptors;

    [[nodiscard]] bool is_end() const { return text.empty(); }
    [[nodiscard]] HotRestartMessageType type() const {
        return static_cast<HotRestartMessageType>(text.front());
    }
    [[nodiscard]] std::string_view body() const { return std::string_view(text).substr(1); }
};

/// One end of the socket. Not synchronized: it belongs to the thread of the balancer's event loop.
class HotRestartChannel {
   public:
    /// Bounds of one message: well under what a socket's buffer takes, and the kernel's bound on descriptors
    /// (SCM_MAX_FD, 253).
    static constexpr size_t max_body_bytes = size_t{32} * 1024;
    static constexpr size_t max_descriptors = 128;

    HotRestartChannel() = default;
    explicit HotRestartChannel(Fd socket) : socket_(std::move(socket)) {}

    /// The child's end, connected to the parent that listens at `path`; closed where nobody does.
    [[nodiscard]] static HotRestartChannel connect_to(const std::string& path);

    [[nodiscard]] bool is_open() const { return static_cast<bool>(socket_); }
    [[nodiscard]] int descriptor() const { return socket_.get(); }
    void close() { socket_.close(); }

    /// Whether the process at the other end runs under the same user: a folder that others may write to must
    /// not let them take the clients.
    [[nodiscard]] bool is_own_user() const;

    /// From now on all that is sent and waited for has to be over within exchange_timeout. To be called
    /// before the first of it.
    void begin_exchange();

    /// Waits for room, for step_timeout at most. Throws HotRestartError where the other side does not read or
    /// is gone.
    void send(HotRestartMessageType type, std::string_view body = {}, std::span<const int> descriptors = {});

    /// Sends where there is room at once; otherwise the message is lost.
    void try_send(HotRestartMessageType type, std::string_view body);

    /// The child's first message. Throws HotRestartError as send() does.
    void send_greeting(std::string_view version_name);

    /// The message that is there, without waiting: none where nothing has come yet, one that is_end() where
    /// the channel was closed. Throws HotRestartError where the message is longer than any that is sent.
    [[nodiscard]] std::optional<HotRestartMessage> receive();

    /// The next message. Throws HotRestartError where none comes within step_timeout, or the channel was
    /// closed.
    [[nodiscard]] HotRestartMessage wait_for_message();

   private:
    void send_text(std::string text, std::span<const int> descriptors);

    [[nodiscard]] TimePoint step_deadline() const;

    Fd socket_;
    TimePoint exchange_deadline_;
};

/// Where the balancer that listens on `listen` (HOST:PORT) expects the next process; empty where `folder` is
/// empty or the path is too long for a socket's address.
[[nodiscard]] std::string hot_restart_socket_path(const std::string& folder, const std::string& listen);

/// A socket on which a parent waits for the next process, readable for this user only. What stands at `path`
/// is removed: it is of a process that was killed, or that has just handed over to this one. Throws
/// std::system_error.
[[nodiscard]] Fd listen_for_child(const std::string& path);

/// The channel to a child that has connected to the socket of listen_for_child(); closed where there is none,
/// or it is of another user.
[[nodiscard]] HotRestartChannel accept_child(const Fd& listening_socket);

}  // namespace headrouter
