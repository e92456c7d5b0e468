#include "hot_restart/hot_restart_channel.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <system_error>

#include "transport/clock.h"
#include "transport/socket_error.h"

namespace headrouter {

namespace {

// Timeout of one send or receive. Both processes run on one machine and do nothing else during the
// exchange, so one that takes longer is stuck, and clients are waiting meanwhile.
constexpr Duration step_timeout = millis(500);

// Timeout of all steps together. Without it, many steps that each finish in time could stall the process that
// serves or the one that is starting.
constexpr Duration exchange_timeout = seconds(1);

// The longest message after a part of the state is the greeting with the version name.
constexpr size_t receive_buffer_bytes = HotRestartChannel::max_body_bytes + 64;

constexpr size_t descriptors_size = HotRestartChannel::max_descriptors * sizeof(int);

// Holds the control data with the descriptors of one message.
struct ControlBuffer {
    alignas(cmsghdr) char bytes[CMSG_SPACE(descriptors_size)] = {};
};

std::optional<sockaddr_un> unix_address(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.empty() || path.size() >= sizeof address.sun_path) return std::nullopt;
    std::memcpy(address.sun_path, path.data(), path.size());
    return address;
}

const sockaddr* generic(const sockaddr_un& address) { return reinterpret_cast<const sockaddr*>(&address); }

Fd make_socket() { return Fd(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

bool wait_until_ready(int descriptor, short events, TimePoint deadline) {
    constexpr int64_t nanoseconds_per_millisecond = 1'000'000;
    for (;;) {
        const int64_t left = (deadline - Clock::now()).ns / nanoseconds_per_millisecond;
        pollfd entry{descriptor, events, 0};
        const int ready = poll(&entry, 1, static_cast<int>(std::max<int64_t>(0, left)));
        if (ready >= 0 || errno != EINTR) return ready > 0;
    }
}

void attach_descriptors(msghdr& message, ControlBuffer& control, std::span<const int> descriptors) {
    message.msg_control = control.bytes;
    message.msg_controllen = CMSG_SPACE(descriptors.size_bytes());
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(descriptors.size_bytes());
    std::memcpy(CMSG_DATA(header), descriptors.data(), descriptors.size_bytes());
}

std::vector<Fd> take_descriptors(msghdr& message) {
    std::vector<Fd> descriptors;
    for (cmsghdr* header = CMSG_FIRSTHDR(&message); header; header = CMSG_NXTHDR(&message, header)) {
        if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
        const size_t count = (header->cmsg_len - CMSG_LEN(0)) / sizeof(int);
        for (size_t k = 0; k < count; ++k) {
            int descriptor = -1;
            std::memcpy(&descriptor, CMSG_DATA(header) + k * sizeof descriptor, sizeof descriptor);
            descriptors.emplace_back(descriptor);
        }
    }
    return descriptors;
}

}  // namespace

HotRestartChannel HotRestartChannel::connect_to(const std::string& path) {
    const auto address = unix_address(path);
    if (!address) return {};
    // The socket is non-blocking: if the parent's accept queue is full, a blocking connect() would wait for a
    // process that may be stopped for good.
    Fd socket = make_socket();
    if (!socket || connect(socket.get(), generic(*address), sizeof *address) != 0) return {};
    return HotRestartChannel(std::move(socket));
}

bool HotRestartChannel::is_own_user() const {
    ucred peer{};
    socklen_t size = sizeof peer;
    return getsockopt(socket_.get(), SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

void HotRestartChannel::begin_exchange() { exchange_deadline_ = Clock::now() + exchange_timeout; }

TimePoint HotRestartChannel::step_deadline() const {
    return std::min(Clock::now() + step_timeout, exchange_deadline_);
}

void HotRestartChannel::send(HotRestartMessageType type, std::string_view body,
                             std::span<const int> descriptors) {
    std::string text(1, static_cast<char>(type));
    text += body;
    send_text(std::move(text), descriptors);
}

void HotRestartChannel::send_greeting(std::string_view version_name) {
    std::string text(greeting_prefix);
    text += version_name;
    send_text(std::move(text), {});
}

void HotRestartChannel::send_text(std::string text, std::span<const int> descriptors) {
    iovec part{text.data(), text.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    ControlBuffer control;
    if (!descriptors.empty()) attach_descriptors(message, control, descriptors);
    const TimePoint deadline = step_deadline();
    while (wait_until_ready(socket_.get(), POLLOUT, deadline)) {
        if (sendmsg(socket_.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0) return;
        if (!is_transient_send_error(errno))
            throw HotRestartError("the other process has closed the channel");
    }
    throw HotRestartError("the other process did not read the message in time");
}

void HotRestartChannel::try_send(HotRestartMessageType type, std::string_view body) {
    std::string text(1, static_cast<char>(type));
    text += body;
    (void)::send(socket_.get(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

std::optional<HotRestartMessage> HotRestartChannel::receive() {
    HotRestartMessage received;
    received.text.resize(receive_buffer_bytes);
    iovec part{received.text.data(), received.text.size()};
    ControlBuffer control;
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.bytes;
    message.msg_controllen = sizeof control.bytes;
    const ssize_t size = recvmsg(socket_.get(), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
    if (size < 0 && is_transient_receive_error(errno)) return std::nullopt;
    if (size <= 0) return HotRestartMessage{};
    received.descriptors = take_descriptors(message);
    if ((message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0)
        throw HotRestartError("received a message that exceeds the size limit");
    received.text.resize(static_cast<size_t>(size));
    return received;
}

HotRestartMessage HotRestartChannel::wait_for_message() {
    const TimePoint deadline = step_deadline();
    while (wait_until_ready(socket_.get(), POLLIN, deadline)) {
        std::optional<HotRestartMessage> message = receive();
        if (!message) continue;
        if (message->is_end()) throw HotRestartError("the other process has closed the channel");
        return std::move(*message);
    }
    throw HotRestartError("received no message from the other process in time");
}

std::string hot_restart_socket_path(const std::string& folder, const std::string& listen) {
    if (folder.empty()) return {};
    const std::string path = folder + "/headrouter-" + listen + ".sock";
    return unix_address(path) ? path : std::string();
}

Fd listen_for_child(const std::string& path) {
    constexpr int queue_length = 4;
    const auto address = unix_address(path);
    if (!address) throw std::system_error(ENAMETOOLONG, std::generic_category());
    Fd socket = make_socket();
    unlink(path.c_str());
    const mode_t mask_before = umask(S_IRWXG | S_IRWXO);
    const bool listens = socket && bind(socket.get(), generic(*address), sizeof *address) == 0 &&
                         listen(socket.get(), queue_length) == 0;
    const int error = errno;
    umask(mask_before);
    if (!listens) throw std::system_error(error, std::generic_category());
    return socket;
}

HotRestartChannel accept_child(const Fd& listening_socket) {
    HotRestartChannel channel(
        Fd(accept4(listening_socket.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)));
    if (channel.is_open() && !channel.is_own_user()) channel.close();
    return channel;
}

}  // namespace headrouter
