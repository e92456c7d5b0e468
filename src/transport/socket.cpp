#include "transport/socket.h"

#include <netdb.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <memory>
#include <system_error>

#include "transport/socket_error.h"

namespace headrouter {

std::atomic<int> FileDescriptor::open_count_ = 0;

void FileDescriptor::close() {
    if (fd_ < 0) return;
    ::close(fd_);
    fd_ = -1;
    open_count_.fetch_sub(1, std::memory_order_relaxed);
}

std::optional<Address> Address::from(const std::string& host_port) {
    const size_t colon = host_port.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == host_port.size()) return {};
    const std::string port = host_port.substr(colon + 1);
    // getaddrinfo accepts a port that is too large and truncates it.
    uint16_t port_number = 0;
    const char* const port_end = port.data() + port.size();
    const auto [parsed_to, error] = std::from_chars(port.data(), port_end, port_number);
    if (error != std::errc() || parsed_to != port_end) return {};
    std::string host = host_port.substr(0, colon);
    const bool has_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (has_brackets) host = host.substr(1, host.size() - 2);
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    if (getaddrinfo(host.c_str(), port.c_str(), &hints, &found) != 0) return {};
    const std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> owned(found, freeaddrinfo);
    Address address;
    std::memcpy(&address.bytes, found->ai_addr, found->ai_addrlen);
    address.size = found->ai_addrlen;
    return address;
}

namespace {
FileDescriptor stream_socket(const Address& address) {
    return FileDescriptor(::socket(address.bytes.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}
}  // namespace

std::string to_string(const Address& address) {
    std::array<char, NI_MAXHOST> host{};
    std::array<char, NI_MAXSERV> port{};
    const int failure =
        getnameinfo(reinterpret_cast<const sockaddr*>(&address.bytes), address.size, host.data(), host.size(),
                    port.data(), port.size(), NI_NUMERICHOST | NI_NUMERICSERV);
    if (failure != 0) return "an unknown address";
    const bool is_ipv6 = address.bytes.ss_family == AF_INET6;
    const std::string name = is_ipv6 ? "[" + std::string(host.data()) + "]" : std::string(host.data());
    return name + ":" + port.data();
}

FileDescriptor listen_on(const Address& address, PortSharing sharing) {
    FileDescriptor fd = stream_socket(address);
    const int on = 1;
    // The result is ignored: if the kernel does not support SO_REUSEPORT, the second process fails to bind.
    if (fd && sharing == PortSharing::shared) setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    const bool is_listening =
        fd && setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
        bind(fd.get(), reinterpret_cast<const sockaddr*>(&address.bytes), address.size) == 0 &&
        listen(fd.get(), SOMAXCONN) == 0;
    if (is_listening) return fd;
    const int error = errno;
    throw std::system_error(error, std::generic_category(), "cannot listen on " + to_string(address));
}

FileDescriptor connect_to(const Address& address) {
    FileDescriptor fd = stream_socket(address);
    if (!fd) return fd;
    disable_nagle(fd.get());
    const auto* const peer = reinterpret_cast<const sockaddr*>(&address.bytes);
    if (connect(fd.get(), peer, address.size) == 0 || is_connect_in_progress(errno)) return fd;
    const int connect_error = errno;
    fd.close();
    errno = connect_error;
    return fd;
}

int pending_error(int socket) {
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

void disable_nagle(int socket) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void reset_on_close(int socket) {
    const linger no_linger{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
}

}  // namespace headrouter
