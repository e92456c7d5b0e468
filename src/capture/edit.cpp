#include "capture/edit.h"

#include <sodium.h>

#include <array>
#include <cerrno>
#include <fstream>
#include <functional>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "base/parse_error.h"
#include "capture/event_codec.h"

namespace headrouter::capture {

namespace {

using NameReplacement = std::function<void(std::string&)>;

template <class Table>
Table with_replaced_keys(Table table, const NameReplacement& replace) {
    Table replaced;
    for (auto& [name, value] : table) {
        std::string new_name = name;
        replace(new_name);
        replaced[new_name] = std::move(value);
    }
    return replaced;
}

// Replaces the affinity keys and groups in the policy's state.
void replace_names(BalancingPolicy& policy, const NameReplacement& replace) {
    BalancingPolicy::State state = policy.state();
    for (auto& [id, request] : state.requests) {
        replace(request.key);
        replace(request.group);
    }
    state.groups.groups = with_replaced_keys(std::move(state.groups.groups), replace);
    state.rankings.clear();  // the policy computes them again, from the new names
    state.failovers.entries = with_replaced_keys(std::move(state.failovers.entries), replace);
    for (auto& [name, at] : state.failovers.by_age) replace(name);
    policy.restore(std::move(state));
}

// Writes one segment to a file.
class CaptureFile {
   public:
    explicit CaptureFile(const std::string& path) : path_(path), out_(path, std::ios::binary) {}

    [[nodiscard]] bool has_begun() const { return has_begun_; }

    void begin(TimePoint now, std::string state) {
        has_begun_ = true;
        SegmentHeader header;
        header.build = "cut";
        header.name = "edited";
        header.begins = now;
        out_ << encode(header);
        Block block;
        block.kind = BlockKind::state;
        block.first = now;
        block.last = now;
        block.bytes = std::move(state);
        out_ << encode(block);
    }

    void append(const RecordedEvent& event) {
        frame_.clear();
        encode(event, frame_);
        if (open_block_.bytes.empty()) open_block_.first = event.at;
        open_block_.last = event.at;
        ++open_block_.count;
        append_frame(open_block_.bytes, frame_);
        if (open_block_.bytes.size() >= target_block_bytes) write_open_block();
    }

    void finish() {
        write_open_block();
        Block index;
        index.kind = BlockKind::index;
        out_ << encode(index);
        out_.flush();
        if (!out_)
            throw std::system_error(errno, std::generic_category(), "'" + path_ + "' cannot be written");
    }

   private:
    void write_open_block() {
        if (open_block_.bytes.empty()) return;
        out_ << encode(open_block_);
        open_block_ = Block{};
    }

    std::string path_;
    std::ofstream out_;
    bool has_begun_ = false;
    std::string frame_;  // bytes of one event; a member so that its memory is reused
    Block open_block_;
};

// Replaces names by a keyed hash; equal names get equal hashes.
class NameHasher {
   public:
    NameHasher() {
        if (sodium_init() < 0) throw std::runtime_error("cannot draw a random key: sodium_init() failed");
        randombytes_buf(key_.data(), key_.size());
    }

    void replace(std::string& name) const {
        if (name.empty()) return;
        std::array<unsigned char, hash_bytes> hash{};
        crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(name.data()),
                           name.size(), key_.data(), key_.size());
        std::array<char, 2 * hash_bytes + 1> text{};
        name = sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    }

   private:
    static constexpr size_t hash_bytes = 16;
    std::array<unsigned char, crypto_generichash_KEYBYTES> key_{};
};

}  // namespace

ReplayResult cut(const std::vector<std::string>& paths, Duration from, Duration to, const std::string& out) {
    CaptureFile file(out);
    std::optional<TimePoint> first;
    ReplayObserver observer;
    observer.before_event = [&](ReplayedPolicy& replayed, const RecordedEvent& event) {
        if (!first) first = event.at;
        const Duration since_first = event.at - *first;
        if (since_first < from) return true;
        if (since_first > to) return false;
        if (!file.has_begun()) file.begin(event.at, replayed.state());
        file.append(event);
        return true;
    };
    ReplayResult result = replay(paths, observer);
    if (!file.has_begun()) throw ParseError("the capture has no event in the period to cut");
    file.finish();
    return result;
}

ReplayResult anonymize(const std::vector<std::string>& paths, const std::string& out) {
    const NameHasher hasher;
    CaptureFile file(out);
    ReplayedPolicy anonymous;
    ReplayObserver observer;
    observer.before_event = [&](ReplayedPolicy& replayed, const RecordedEvent& event) {
        if (!anonymous.is_restored()) {
            anonymous.restore(replayed.state());
            replace_names(anonymous.policy(), [&](std::string& name) { hasher.replace(name); });
            file.begin(event.at, anonymous.state());
        }
        RecordedEvent anonymous_event = event;
        hasher.replace(anonymous_event.request.key);
        hasher.replace(anonymous_event.request.group);
        anonymous_event.actions = anonymous.deliver(anonymous_event);
        file.append(anonymous_event);
        return true;
    };
    ReplayResult result = replay(paths, observer);
    file.finish();
    return result;
}

}  // namespace headrouter::capture
