// Listening socket of a fake peer. It can refuse connections, or ignore them like a machine that vanished:
// then connections to it are never established. Making the kernel drop packets needs privileges, but the
// kernel drops them for a listener whose accept queue is full.
#pragma once
#include <ev.h>

#include <functional>
#include <string>
#include <vector>

#include "transport/socket.h"

namespace headrouter::testbed {

class Acceptor {
   public:
    Acceptor(struct ev_loop*, std::string at, std::function<void(Fd)> came);  // throws std::runtime_error
    ~Acceptor();
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    void open();    // accepts connections
    void refuse();  // closes the listener: connections are refused
    void ignore();  // neither accepts nor refuses connections
    bool short_of_descriptors() const { return short_; }

   private:
    void accept_some();
    struct ev_loop* loop_;
    std::string at_;
    std::function<void(Fd)> came_;
    Fd fd_;
    std::vector<Fd> fillers_;
    ev_io io_{};
    bool short_ = false;
};

}  // namespace headrouter::testbed
