#include "testbed/acceptor.h"

#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>

namespace headrouter::testbed {

namespace {
constexpr int fillers = 4, accepts_at_once = 64;
}

Acceptor::Acceptor(struct ev_loop* loop, std::string at, std::function<void(Fd)> came)
    : loop_(loop), at_(std::move(at)), came_(std::move(came)) {
    ev_io_init(
        &io_, [](struct ev_loop*, ev_io* w, int) { static_cast<Acceptor*>(w->data)->accept_some(); }, -1,
        EV_READ);
    io_.data = this;
    open();
}

Acceptor::~Acceptor() { refuse(); }

void Acceptor::open() {
    if (!fillers_.empty()) refuse();  // resets the queued connections, as a machine does that is back
    if (fd_) return;
    const auto address = Address::from(at_);
    if (!address) throw std::runtime_error("'" + at_ + "' is not an address");
    fd_ = listen_on(*address);
    ev_io_set(&io_, fd_.get(), EV_READ);
    ev_io_start(loop_, &io_);
}

void Acceptor::refuse() {
    ev_io_stop(loop_, &io_);
    fillers_.clear();
    fd_.close();
}

void Acceptor::ignore() {
    open();
    ev_io_stop(loop_, &io_);
    listen(fd_.get(), 0);
    for (int k = 0; k < fillers; ++k) fillers_.push_back(connect_to(*Address::from(at_)));
}

void Acceptor::accept_some() {
    for (int k = 0; k < accepts_at_once && fd_; ++k) {
        Fd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd) {
            short_ = short_ || errno == EMFILE || errno == ENFILE;
            return;
        }
        disable_nagle(fd.get());
        came_(std::move(fd));
    }
}

}  // namespace headrouter::testbed
