// Fails system calls of the process into which the lab loads this library (LD_PRELOAD), by the rules in the
// table file that HEADROUTER_FAILING_CALLS names. If the variable is set but the table is missing or of
// another size, the process ends with exit code 2.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>

#include "testbed/failing_calls.h"

namespace {

using headrouter::testbed::FailingCallTable;
using headrouter::testbed::short_transfer;
using headrouter::testbed::SystemCall;

constexpr int exit_code_of_bad_table = 2;
constexpr uint64_t million = 1'000'000;

template <class Function>
Function* real(const char* name) {
    return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

[[noreturn]] void refuse(const char* path) {
    std::fprintf(stderr, "failing calls: '%s' is not a table of %zu bytes\n", path, sizeof(FailingCallTable));
    _exit(exit_code_of_bad_table);
}

FailingCallTable* open_table() {
    const char* const path = std::getenv(headrouter::testbed::failing_calls_variable);
    if (path == nullptr) return nullptr;
    static const auto real_open = real<int(const char*, int, ...)>("open");
    const int file = real_open(path, O_RDWR | O_CLOEXEC);
    struct stat status {};
    if (file < 0 || fstat(file, &status) != 0 || status.st_size != sizeof(FailingCallTable)) refuse(path);
    void* const place = mmap(nullptr, sizeof(FailingCallTable), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (place == MAP_FAILED) refuse(path);
    return static_cast<FailingCallTable*>(place);
}

FailingCallTable* table() {
    static FailingCallTable* const opened = open_table();
    return opened;
}

uint64_t next_random(std::atomic<uint64_t>& seed) {
    constexpr uint64_t multiplier = 6364136223846793005ULL, increment = 1442695040888963407ULL;
    constexpr unsigned weak_bits = 33;
    const uint64_t next = seed * multiplier + increment;
    seed = next;
    return next >> weak_bits;
}

/// Returns the error that this call fails with; 0 if the call is made unchanged.
int32_t injected_error(SystemCall call) {
    FailingCallTable* const faults = table();
    if (faults == nullptr) return 0;
    FailingCallTable::Rule& rule = faults->rules[static_cast<size_t>(call)];
    if (rule.per_million == 0 || next_random(faults->seed) % million >= rule.per_million) return 0;
    ++rule.injected_count;
    return rule.error;
}

int fail_with(int32_t error) {
    errno = error;
    return -1;
}

/// Fails the call or makes it; a short transfer is limited to one byte.
template <class MakeCall>
ssize_t transfer(SystemCall call, size_t size, MakeCall make_call) {
    const int32_t error = injected_error(call);
    if (error > 0) return fail_with(error);
    return make_call(error == short_transfer ? std::min<size_t>(size, 1) : size);
}

bool is_regular_file(int file) {
    struct stat status {};
    return fstat(file, &status) == 0 && S_ISREG(status.st_mode);
}

}  // namespace

// Each function replaces the C library's through its linker name. Its C++ name differs, so that it does not
// redefine a function that the system's headers declare.
extern "C" {

int failing_accept4(int socket, sockaddr* address, socklen_t* size, int flags) __asm__("accept4");
int failing_socket(int domain, int type, int protocol) noexcept __asm__("socket");
int failing_connect(int socket, const sockaddr* address, socklen_t size) __asm__("connect");
ssize_t failing_recv(int socket, void* bytes, size_t size, int flags) __asm__("recv");
ssize_t failing_recvmsg(int socket, msghdr* message, int flags) __asm__("recvmsg");
ssize_t failing_send(int socket, const void* bytes, size_t size, int flags) __asm__("send");
ssize_t failing_sendmsg(int socket, const msghdr* message, int flags) __asm__("sendmsg");
int failing_epoll_wait(int epoll, epoll_event* events, int max_events, int timeout_ms) __asm__("epoll_wait");
int failing_open(const char* path, int flags, ...) __asm__("open");
ssize_t failing_write(int file, const void* bytes, size_t size) __asm__("write");
int failing_fsync(int file) __asm__("fsync");
int failing_rename(const char* from, const char* to) noexcept __asm__("rename");

int failing_accept4(int socket, sockaddr* address, socklen_t* size, int flags) {
    static const auto call = real<int(int, sockaddr*, socklen_t*, int)>("accept4");
    const int32_t error = injected_error(SystemCall::accept);
    return error > 0 ? fail_with(error) : call(socket, address, size, flags);
}

int failing_socket(int domain, int type, int protocol) noexcept {
    static const auto call = real<int(int, int, int)>("socket");
    const int32_t error = injected_error(SystemCall::socket);
    return error > 0 ? fail_with(error) : call(domain, type, protocol);
}

int failing_connect(int socket, const sockaddr* address, socklen_t size) {
    static const auto call = real<int(int, const sockaddr*, socklen_t)>("connect");
    const int32_t error = injected_error(SystemCall::connect);
    if (error == EINTR) call(socket, address, size);  // an interrupted connect continues in the background
    return error > 0 ? fail_with(error) : call(socket, address, size);
}

ssize_t failing_recv(int socket, void* bytes, size_t size, int flags) {
    static const auto call = real<ssize_t(int, void*, size_t, int)>("recv");
    return transfer(SystemCall::receive, size, [&](size_t most) { return call(socket, bytes, most, flags); });
}

ssize_t failing_recvmsg(int socket, msghdr* message, int flags) {
    static const auto call = real<ssize_t(int, msghdr*, int)>("recvmsg");
    const int32_t error = injected_error(SystemCall::receive);
    return error > 0 ? fail_with(error) : call(socket, message, flags);
}

ssize_t failing_send(int socket, const void* bytes, size_t size, int flags) {
    static const auto call = real<ssize_t(int, const void*, size_t, int)>("send");
    return transfer(SystemCall::send, size, [&](size_t most) { return call(socket, bytes, most, flags); });
}

ssize_t failing_sendmsg(int socket, const msghdr* message, int flags) {
    static const auto call = real<ssize_t(int, const msghdr*, int)>("sendmsg");
    const int32_t error = injected_error(SystemCall::send);
    return error > 0 ? fail_with(error) : call(socket, message, flags);
}

int failing_epoll_wait(int epoll, epoll_event* events, int max_events, int timeout_ms) {
    static const auto call = real<int(int, epoll_event*, int, int)>("epoll_wait");
    const int32_t error = injected_error(SystemCall::wait);
    return error > 0 ? fail_with(error) : call(epoll, events, max_events, timeout_ms);
}

int failing_open(const char* path, int flags, ...) {
    static const auto call = real<int(const char*, int, ...)>("open");
    va_list arguments;
    va_start(arguments, flags);
    const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    const int32_t error = injected_error(SystemCall::open);
    return error > 0 ? fail_with(error) : call(path, flags, mode);
}

ssize_t failing_write(int file, const void* bytes, size_t size) {
    static const auto call = real<ssize_t(int, const void*, size_t)>("write");
    if (!is_regular_file(file)) return call(file, bytes, size);
    return transfer(SystemCall::write, size, [&](size_t most) { return call(file, bytes, most); });
}

int failing_fsync(int file) {
    static const auto call = real<int(int)>("fsync");
    const int32_t error = injected_error(SystemCall::sync);
    return error > 0 ? fail_with(error) : call(file);
}

int failing_rename(const char* from, const char* to) noexcept {
    static const auto call = real<int(const char*, const char*)>("rename");
    const int32_t error = injected_error(SystemCall::rename);
    return error > 0 ? fail_with(error) : call(from, to);
}
}
