#include "hot_restart/hot_restart_child.h"

#include <algorithm>
#include <charconv>
#include <iterator>

#include "hot_restart/state_version.h"

namespace headrouter {

namespace {

// Larger than the state of any balancer, so a process that sends more is faulty.
constexpr size_t max_state_bytes = 64 << 20;

}  // namespace

std::unique_ptr<HotRestartChild> HotRestartChild::connect_to_parent(const std::string& path, Log& log) {
    HotRestartChannel channel = HotRestartChannel::connect_to(path);
    if (!channel.is_open()) return nullptr;
    try {
        if (!channel.is_own_user()) throw HotRestartError("the other process runs under another user");
        channel.begin_exchange();
        channel.send_greeting(hot_restart::state_version.name);
        std::unique_ptr<HotRestartChild> child(new HotRestartChild(std::move(channel)));
        child->receive_all();
        return child;
    } catch (const HotRestartError& error) {
        log.warning("hot_restart_skipped", {{"path", path}, {"error", error.what()}});
        return nullptr;
    }
}

HotRestartChild::~HotRestartChild() {
    if (loop_) ev_io_stop(loop_, &parent_readable_);
}

void HotRestartChild::receive_all() {
    for (;;) {
        HotRestartMessage message = channel_.wait_for_message();
        std::move(message.descriptors.begin(), message.descriptors.end(), std::back_inserter(connections_));
        switch (message.type()) {
            case HotRestartMessageType::listener:
                if (connections_.size() != 1)
                    throw HotRestartError("the listener message does not hold exactly one descriptor");
                listener_ = std::move(connections_.back());
                connections_.clear();
                break;
            case HotRestartMessageType::state_part: append_state(message.body()); break;
            case HotRestartMessageType::connections: break;
            case HotRestartMessageType::end_with_state:
            case HotRestartMessageType::end_without_state:
                if (!listener_) throw HotRestartError("the transfer ended without a listener");
                has_state_ = message.type() == HotRestartMessageType::end_with_state;
                return;
            default: throw HotRestartError("received a message of an unknown type");
        }
    }
}

void HotRestartChild::append_state(std::string_view bytes) {
    state_ += bytes;
    if (state_.size() > max_state_bytes)
        throw HotRestartError("the received state exceeds " + std::to_string(max_state_bytes) + " bytes");
}

bool HotRestartChild::confirm_takeover() {
    try {
        channel_.send(HotRestartMessageType::ready);
        return channel_.wait_for_message().type() == HotRestartMessageType::released;
    } catch (const HotRestartError&) {
        return false;
    }
}

void HotRestartChild::watch_parent(struct ev_loop* loop, std::function<void(int)> on_descriptors_held) {
    loop_ = loop;
    on_descriptors_held_ = std::move(on_descriptors_held);
    const auto on_readable = [](struct ev_loop* /*loop*/, ev_io* watcher, int /*events*/) {
        static_cast<HotRestartChild*>(watcher->data)->on_parent_readable();
    };
    ev_io_init(&parent_readable_, on_readable, channel_.descriptor(), EV_READ);
    parent_readable_.data = this;
    ev_io_start(loop_, &parent_readable_);
}

void HotRestartChild::on_parent_readable() {
    HotRestartMessage message;
    try {
        std::optional<HotRestartMessage> received = channel_.receive();
        if (!received) return;
        message = std::move(*received);
    } catch (const HotRestartError&) {
        message = {};  // handled as if the parent had closed the channel
    }
    if (message.is_end()) {
        ev_io_stop(loop_, &parent_readable_);
        channel_.close();
        on_descriptors_held_(0);
        return;
    }
    if (message.type() != HotRestartMessageType::descriptors_held) return;
    const std::string_view digits = message.body();
    int count = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), count);
    if (parsed.ec == std::errc()) on_descriptors_held_(std::max(0, count));
}

}  // namespace headrouter
