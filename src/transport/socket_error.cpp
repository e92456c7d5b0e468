#include "transport/socket_error.h"

#include <cerrno>

namespace headrouter {

namespace {

// EAGAIN and EWOULDBLOCK have the same value on Linux, so only EAGAIN is checked below.
static_assert(EAGAIN == EWOULDBLOCK);

}  // namespace

AcceptError classify_accept_error(int error) {
    switch (error) {
        case EAGAIN: return AcceptError::queue_empty;
        case EMFILE:
        case ENFILE: return AcceptError::no_descriptor;
        case EINTR:
        case ECONNABORTED:
        case EPERM:  // a firewall rejects the connection
        case EPROTO:
        case ENOPROTOOPT:
        case EOPNOTSUPP:
        case ENETDOWN:
        case ENETUNREACH:
        case EHOSTDOWN:
        case EHOSTUNREACH:
        case ENONET:
        case ETIMEDOUT: return AcceptError::connection_failed;
        default: return AcceptError::shortage;
    }
}

bool is_local_connect_error(int error) {
    switch (error) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EADDRNOTAVAIL:
        case EAGAIN:  // no free local port
        case ENETDOWN:
        case ENETUNREACH:  // no route from here
        case EACCES:
        case EPERM: return true;
        default: return false;
    }
}

bool is_connect_in_progress(int error) { return error == EINPROGRESS || error == EINTR; }

bool is_transient_receive_error(int error) { return error == EAGAIN || error == EINTR || error == ENOMEM; }

bool is_transient_send_error(int error) {
    return error == EAGAIN || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

}  // namespace headrouter
