/// @file
/// A stream connection that carries lines of text. It is used for clients, servers, the admin server and the
/// lab.
#pragma once
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/event_watcher.h"
#include "transport/socket.h"

namespace headrouter {

/// How a connection is closed, by this side or by the peer: in order (FIN) or by a reset (RST).
enum class CloseReason { fin, reset };

/// Length in bytes from which an incomplete line is delivered in several pieces.
constexpr size_t max_line_length = 4096;

/// Number of unsent bytes above which the producer of the output must pause.
constexpr size_t unsent_high_watermark = size_t{16} * 1024;

/// Reads lines from a socket, buffers and writes output, and closes the socket with FIN or RST. Must be used
/// on its event loop's thread. The owner must not destroy the connection inside one of the events below, but
/// may pass it to a `LingeringCloser`.
class LineConnection {
   public:
    /// Receives the events of a connection, until `finish`, `abort`, `close_now` or `detach` is called.
    class Owner {
       public:
        virtual ~Owner() = default;

        /// Handles at most one line, including its line end. `complete` is false if the bytes do not end a
        /// line because the line is too long or the input ended.
        virtual void on_bytes(LineConnection&, std::string_view bytes, bool complete) = 0;

        /// Handles that the peer closed its sending side (`fin`) or the connection broke (`reset`). Called at
        /// most once.
        virtual void on_closed(LineConnection&, CloseReason) = 0;

        /// Handles that a connection started by `start_connecting` is established.
        virtual void on_connected(LineConnection&) {}

        /// Handles that the first bytes of a line were received without its end. Called at most once per
        /// line.
        virtual void on_line_begun(LineConnection&) {}

        /// Handles that the kernel has accepted some of the unsent bytes.
        virtual void on_output_drained(LineConnection&) {}
    };

    /// `id` is chosen by the owner; `priority` is the priority of the connection's watcher (see
    /// EventWatcher).
    LineConnection(struct ev_loop*, FileDescriptor, Owner&, uint64_t id, int priority = 0);
    ~LineConnection();
    LineConnection(const LineConnection&) = delete;
    LineConnection& operator=(const LineConnection&) = delete;

    /// Starts to read from a connected socket.
    void start();

    /// Waits until the pending connect of the socket has finished. Nothing is sent before that.
    void start_connecting();

    /// Sends as many bytes as the kernel accepts now, and buffers the rest until the socket is writable. Only
    /// the first call in an iteration of the event loop writes to the socket; the bytes of later ones follow
    /// in the next iteration, so that a burst of short lines costs two system calls instead of one a line.
    /// May report on_output_drained, but neither received bytes nor the end of the connection: a caller may
    /// use what these would end, and the next event of the loop reports them.
    void send(std::string_view bytes);

    /// Sends as many of the buffered bytes as the kernel accepts now. Reports nothing.
    void flush();

    /// Pauses or resumes reading. While paused, received bytes stay in the kernel.
    void pause_reading(bool paused);

    /// Reads once immediately, without waiting for the event loop to report the socket as readable.
    void poll_now();

    /// Sends the unsent bytes and then FIN, and discards input until the peer closes its side too. Closing
    /// the socket with unread input would send RST, and the peer could lose the bytes that were just sent.
    void finish();

    /// Closes the socket at once with RST, after an attempt to send the buffered bytes.
    void abort();

    /// Closes the socket at once. If no bytes are unsent, closes in order (FIN), so that the bytes already
    /// sent still arrive; otherwise aborts.
    void close_now();

    /// Closes this process's descriptor without sending FIN or RST: another process has the connection now.
    void detach();

    /// State that another process needs, besides the descriptor, to continue the connection.
    struct State {
        std::string partial_line;
        std::string unsent_bytes;
        bool is_connecting = false;
        bool is_paused = false;
    };
    State state() const;

    /// Continues a connection of another process on its descriptor. Must be called instead of `start`.
    void restore(State state);

    uint64_t id() const { return id_; }

    /// Returns the descriptor, which the connection still owns.
    int descriptor() const { return socket_.get(); }
    bool is_closed() const { return !socket_; }
    size_t unsent_bytes() const { return output_.size() - output_sent_; }

    /// Returns whether an incomplete line is buffered.
    bool has_partial_line() const { return !input_.empty(); }
    size_t partial_line_size() const { return input_.size(); }

    /// Returns the number of bytes already read after the line being delivered. Valid only during `on_bytes`.
    size_t bytes_after_line() const { return bytes_after_line_; }

    /// Returns whether the peer has reset the connection and no bytes that it sent before are unread, whether
    /// or not that has been reported as an event.
    bool is_reset() const;

    /// Returns whether the kernel holds received bytes that were not read.
    bool has_unread_bytes() const;

    /// Returns the number of bytes that all connections of this process buffer, in both directions. May be
    /// called on any thread.
    static size_t total_buffered_bytes() { return total_buffered_bytes_.load(std::memory_order_relaxed); }

   private:
    void on_event(int events);
    void on_connect_event();
    void read_input();
    void discard_input();
    void on_input_end();
    void deliver_lines(size_t new_bytes);
    void write_output();
    bool send_to_kernel();
    bool is_first_send_of_iteration();
    void on_bytes_sent(size_t unsent_before);
    void compact_output();
    void send_fin();
    void report_closed(CloseReason);
    void update_watcher();
    void update_buffered_total();

    struct ev_loop* loop_;
    FileDescriptor socket_;
    Owner* owner_;  // null once no more events must be reported
    uint64_t id_;
    std::string input_;   // start of an incomplete line
    std::string output_;  // the first `output_sent_` bytes are already sent
    size_t output_sent_ = 0;
    std::optional<unsigned> last_send_iteration_;  // of the event loop
    size_t counted_bytes_ = 0;                     // contribution of this connection to total_buffered_bytes_
    size_t bytes_after_line_ = 0;
    bool is_connecting_ = false;
    bool is_paused_ = false;
    bool is_finishing_ = false;
    bool fin_sent_ = false;
    bool input_ended_ = false;
    bool close_reported_ = false;
    IoWatcher watcher_;
    static std::atomic<size_t> total_buffered_bytes_;  // atomic because the lab uses several threads
};

}  // namespace headrouter
