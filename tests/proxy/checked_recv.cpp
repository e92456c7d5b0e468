// Stands in for the C library's recv: a layer under the process may write what it was asked to read, also
// what a kernel would drop, so every read has to name a buffer. Parameters are named as in the C library.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

extern "C" ssize_t recv(int fd, void* buf, size_t n, int flags) {
    EXPECT_TRUE(buf);
    return syscall(SYS_recvfrom, fd, buf, n, flags, nullptr, nullptr);
}
