// Replaces the C library's recv() and checks that each call passes a buffer. A layer between process and
// kernel may write the bytes it was asked to read even where the kernel would discard them, so a null buffer
// is a fault. The parameters are named as in the C library.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

extern "C" ssize_t recv(int fd, void* buf, size_t n, int flags) {
    EXPECT_TRUE(buf);
    return syscall(SYS_recvfrom, fd, buf, n, flags, nullptr, nullptr);
}
