#include "testbed/polling_client.h"

#include <sys/socket.h>

namespace headrouter::testbed {

bool PollingClient::heard(const std::string& at, const std::string& line, const std::string& wanted) {
    if (!fd_) {
        got_.clear();
        said_ = false;
        if (fd_ = connect_to(*Address::from(at)); !fd_) return false;
    }
    if (pending_error(fd_.get()) != 0) return fd_.close(), false;
    if (!said_)
        said_ =
            ::send(fd_.get(), line.data(), line.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(line.size());
    char bytes[256];
    const ssize_t n = recv(fd_.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (n > 0) got_.append(bytes, static_cast<size_t>(n));
    const bool yes = got_.find(wanted) != std::string::npos;
    if (n == 0) fd_.close();
    return yes;
}

}  // namespace headrouter::testbed
