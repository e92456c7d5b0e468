// Stands in for the C library's recv: a layer under the process may write what it was asked to read, also
// what a kernel would drop, so every read has to name a buffer.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

extern "C" ssize_t recv(int fd, void* buffer, size_t size, int flags) {
    EXPECT_TRUE(buffer);
    return syscall(SYS_recvfrom, fd, buffer, size, flags, nullptr, nullptr);
}
