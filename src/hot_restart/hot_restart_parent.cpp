#include "hot_restart/hot_restart_parent.h"

#include <unistd.h>

#include <algorithm>

#include "hot_restart/state_version.h"

namespace headrouter {

HotRestartParent::HotRestartParent(struct ev_loop* loop, Callbacks callbacks, Log& log)
    : loop_(loop), callbacks_(std::move(callbacks)), log_(log) {
    const auto on_connected = [](struct ev_loop* /*loop*/, ev_io* watcher, int /*events*/) {
        static_cast<HotRestartParent*>(watcher->data)->on_child_connected();
    };
    const auto on_readable = [](struct ev_loop* /*loop*/, ev_io* watcher, int /*events*/) {
        static_cast<HotRestartParent*>(watcher->data)->on_child_readable();
    };
    ev_io_init(&child_connected_, on_connected, -1, EV_READ);
    ev_io_init(&child_readable_, on_readable, -1, EV_READ);
    child_connected_.data = this;
    child_readable_.data = this;
}

HotRestartParent::~HotRestartParent() {
    if (!handed_over_ && listening_socket_) unlink(path_.c_str());
    stop_listening();
    close_child();
}

void HotRestartParent::stop_listening() {
    ev_io_stop(loop_, &child_connected_);
    listening_socket_.close();
}

void HotRestartParent::close_child() {
    ev_io_stop(loop_, &child_readable_);
    child_.close();
}

void HotRestartParent::listen(const std::string& path) {
    path_ = path;
    listening_socket_ = listen_for_child(path);
    ev_io_set(&child_connected_, listening_socket_.get(), EV_READ);
    ev_io_start(loop_, &child_connected_);
}

void HotRestartParent::on_child_connected() {
    HotRestartChannel child = accept_child(listening_socket_);
    if (!child.is_open()) return;
    close_child();
    child_ = std::move(child);
    ev_io_set(&child_readable_, child_.descriptor(), EV_READ);
    ev_io_start(loop_, &child_readable_);
}

void HotRestartParent::on_child_readable() {
    HotRestartMessage message;
    try {
        std::optional<HotRestartMessage> received = child_.receive();
        if (!received) return;
        message = std::move(*received);
    } catch (const HotRestartError&) {
        message = {};  // handled as if the child had closed the channel
    }
    if (handed_over_) {
        // After the handover a child sends no more messages: the channel is readable because the child
        // exited.
        close_child();
        handed_over_ = false;
        callbacks_.resume();
        return;
    }
    const std::string_view greeting = message.text;
    if (!greeting.starts_with(greeting_prefix) || !callbacks_.can_hand_over()) return close_child();
    const bool with_state = greeting.substr(greeting_prefix.size()) == hot_restart::state_version.name;
    try {
        hand_over(with_state);
    } catch (const HotRestartError& error) {
        log_.warning("hot_restart_child_failed", {{"error", error.what()}});
        return close_child();
    }
    stop_listening();  // the child now listens at this path
    handed_over_ = true;
    callbacks_.release(with_state);
}

// Releases nothing before the child has confirmed that it has restored everything, so that until then this
// process can continue to serve.
void HotRestartParent::hand_over(bool with_state) {
    child_.begin_exchange();
    const int listener = callbacks_.listener();
    child_.send(HotRestartMessageType::listener, {}, {&listener, 1});
    if (with_state) send_state();
    child_.send(with_state ? HotRestartMessageType::end_with_state
                           : HotRestartMessageType::end_without_state);
    if (child_.wait_for_message().type() != HotRestartMessageType::ready)
        throw HotRestartError("the other process did not confirm the takeover");
    child_.send(HotRestartMessageType::released);
}

void HotRestartParent::send_state() {
    const hot_restart::TransferState state = callbacks_.pack_state();
    const std::string_view bytes = state.bytes;
    for (size_t at = 0; at < bytes.size(); at += HotRestartChannel::max_body_bytes)
        child_.send(HotRestartMessageType::state_part, bytes.substr(at, HotRestartChannel::max_body_bytes));
    const std::span<const int> descriptors = state.descriptors;
    for (size_t at = 0; at < descriptors.size(); at += HotRestartChannel::max_descriptors) {
        const size_t count = std::min(HotRestartChannel::max_descriptors, descriptors.size() - at);
        child_.send(HotRestartMessageType::connections, {}, descriptors.subspan(at, count));
    }
}

void HotRestartParent::report_descriptors_held(int count) {
    if (handed_over_) child_.try_send(HotRestartMessageType::descriptors_held, std::to_string(count));
}

}  // namespace headrouter
