/// @file
/// A stream connection that carries lines. Both sides of the balancer, the admin server and the lab are made
/// of these.
#pragma once
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "transport/event_watcher.h"
#include "transport/socket.h"

namespace headrouter {

/// How a connection ends, or was ended by its peer: in order (FIN), or broken (RST).
enum class CloseReason { fin, reset };

/// Bytes after which a line that has not ended is handed over in parts.
constexpr size_t max_line_length = 4096;

/// Unsent bytes above which whoever feeds a connection is to stop.
constexpr size_t unsent_high_watermark = size_t{16} * 1024;

/// Reads lines, buffers and writes what it is given, and closes in the way that it is told. It is used on the
/// thread of its event loop; its owner must not destroy it inside one of the events below, but give it to a
/// `LingeringCloser`.
class LineConnection {
   public:
    /// Whoever a connection reports to, until `finish`, `abort`, `close_now` or `detach` is called.
    class Owner {
       public:
        virtual ~Owner() = default;

        /// At most one line, with its end. `complete` is false where the bytes stop in the middle of a line,
        /// which is too long or was cut off.
        virtual void on_bytes(LineConnection&, std::string_view bytes, bool complete) = 0;

        /// The peer ended its sending (`fin`) or the connection broke (`reset`); reported once.
        virtual void on_closed(LineConnection&, CloseReason) = 0;

        /// A connection that was started by `start_connecting` is up.
        virtual void on_connected(LineConnection&) {}

        /// The first bytes of a line have come without its end; reported once a line.
        virtual void on_line_begun(LineConnection&) {}

        /// The kernel has taken some of the unsent bytes.
        virtual void on_output_drained(LineConnection&) {}
    };

    /// `id` is the owner's; `priority` is that of the connection's watcher (see EventWatcher).
    LineConnection(struct ev_loop*, FileDescriptor, Owner&, uint64_t id, int priority = 0);
    ~LineConnection();
    LineConnection(const LineConnection&) = delete;
    LineConnection& operator=(const LineConnection&) = delete;

    /// Begins to read, on a socket that is connected.
    void start();

    /// Waits for a socket whose connect is under way, and sends nothing before.
    void start_connecting();

    /// Sends as much as the kernel takes now and the rest later.
    void send(std::string_view bytes);

    /// While paused, what comes in waits in the kernel.
    void pause_reading(bool paused);

    /// Reads once now, before the loop reports the socket readable.
    void poll_now();

    /// Sends what is left and then FIN, and discards input until the peer ends as well: a close with unread
    /// input would send RST, which overtakes what was just sent.
    void finish();

    /// Closes at once, with RST.
    void abort();

    /// Closes at once and in order where nothing is unsent, so that what was sent still arrives; otherwise
    /// aborts.
    void close_now();

    /// Closes this process's descriptor without a word to the peer: another process has the connection now.
    void detach();

    /// What another process needs beside the descriptor to go on with the connection.
    struct State {
        std::string partial_line;
        std::string unsent_bytes;
        bool is_connecting = false;
        bool is_paused = false;
    };
    State state() const;

    /// Goes on with a connection of another process, on its descriptor. In place of `start`.
    void restore(State state);

    uint64_t id() const { return id_; }

    /// The descriptor, still owned by the connection.
    int descriptor() const { return socket_.get(); }
    bool is_closed() const { return !socket_; }
    size_t unsent_bytes() const { return output_.size() - output_sent_; }

    /// Part of a line has come and waits for the rest.
    bool has_partial_line() const { return !input_.empty(); }
    size_t partial_line_size() const { return input_.size(); }

    /// During `on_bytes`: how much had come after the line that is being handed over.
    size_t bytes_after_line() const { return bytes_after_line_; }

    /// Input waits in the kernel.
    bool has_unread_bytes() const;

    /// Bytes that all connections of this process buffer, in either direction. May be called on any thread.
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
    void compact_output();
    void send_fin();
    void report_closed(CloseReason);
    void update_watcher();
    void update_buffered_total();

    FileDescriptor socket_;
    Owner* owner_;  // null once nobody wants events any more
    uint64_t id_;
    std::string input_;   // a line's beginning
    std::string output_;  // of which `output_sent_` bytes are out
    size_t output_sent_ = 0;
    size_t counted_bytes_ = 0;  // what total_buffered_bytes_ contains of this connection
    size_t bytes_after_line_ = 0;
    bool is_connecting_ = false;
    bool is_paused_ = false;
    bool is_finishing_ = false;
    bool fin_sent_ = false;
    bool input_ended_ = false;
    bool close_reported_ = false;
    IoWatcher watcher_;
    static std::atomic<size_t> total_buffered_bytes_;  // atomic as the lab has connections on several threads
};

}  // namespace headrouter
