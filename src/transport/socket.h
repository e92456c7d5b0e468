/// @file
/// RAII file descriptors, socket addresses, and functions that create and configure sockets.
#pragma once
#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <optional>
#include <string>
#include <utility>

namespace headrouter {

/// Owns a file descriptor and closes it. Counts all descriptors that the process owns in this way, because
/// the balancer must reject clients before descriptors run out.
class FileDescriptor {
   public:
    FileDescriptor() = default;

    /// Takes ownership of `fd`. A negative value means no descriptor.
    explicit FileDescriptor(int fd) : fd_(fd) { open_count_.fetch_add(fd >= 0, std::memory_order_relaxed); }

    FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept {
        if (this == &other) return *this;
        close();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    ~FileDescriptor() { close(); }

    void close();
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

    /// Returns the number of descriptors owned by FileDescriptor objects. May be called on any thread.
    static int open_count() { return open_count_.load(std::memory_order_relaxed); }

   private:
    int fd_ = -1;
    static std::atomic<int> open_count_;  // atomic because the lab uses several threads
};

/// Former name, still used by some modules.
using Fd = FileDescriptor;

/// An IPv4 or IPv6 address with a port.
struct Address {
    sockaddr_storage bytes{};
    socklen_t size = 0;  ///< number of bytes used in `bytes`

    /// Parses "1.2.3.4:80" or "[::1]:80". Host names are not resolved. Returns nothing if the text is
    /// malformed.
    static std::optional<Address> from(const std::string& host_port);
};

/// Whether another process may listen on the same address at the same time, as during a hot restart.
enum class PortSharing { exclusive, shared };

/// Formats an address as HOST:PORT, with an IPv6 host in brackets.
std::string to_string(const Address&);

/// Returns a listening, non-blocking stream socket. Throws std::system_error with the text "cannot listen on
/// HOST:PORT: REASON".
[[nodiscard]] FileDescriptor listen_on(const Address&, PortSharing = PortSharing::exclusive);

/// Starts to connect without blocking. Returns a socket whose connection is established or in progress. On
/// failure, returns an empty FileDescriptor and sets errno.
[[nodiscard]] FileDescriptor connect_to(const Address&);

/// Returns the pending error of a socket as an errno value: of a connect that has finished, or of a
/// connection that the peer has reset; 0 if there is none. Takes the error from the socket.
[[nodiscard]] int pending_error(int socket);

/// Makes the socket send small lines at once instead of waiting for more bytes (TCP_NODELAY).
void disable_nagle(int socket);

/// Makes closing `socket` send RST instead of FIN.
void reset_on_close(int socket);

}  // namespace headrouter
