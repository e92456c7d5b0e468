#include "capture/recorder.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <system_error>
#include <utility>

namespace headrouter::capture {

namespace {

// Limits how long an event waits in the open block before the block is queued for writing.
constexpr Duration max_block_age = seconds(1);

// Limits how long the destructor writes queued blocks.
constexpr std::chrono::seconds stop_timeout{2};

// Pause after a failure to begin a segment, so that the writer does not retry for every block.
constexpr std::chrono::seconds retry_pause{1};

int64_t unix_milliseconds() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

// Returns an id that only distinguishes recordings.
uint64_t random_capture_id() {
    constexpr int bits_per_half = 32;
    std::random_device random;
    const uint64_t high = random();
    return high << bits_per_half | random();
}

// Blocks all signals in threads that are started during its lifetime, so that the balancer's own thread
// receives them.
class BlockedSignals {
   public:
    BlockedSignals() {
        sigset_t all;
        sigfillset(&all);
        pthread_sigmask(SIG_SETMASK, &all, &before_);
    }
    ~BlockedSignals() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
    BlockedSignals(const BlockedSignals&) = delete;
    BlockedSignals& operator=(const BlockedSignals&) = delete;

   private:
    sigset_t before_{};
};

}  // namespace

Recorder::Recorder(RecorderConfig config, std::string name, std::string build)
    : config_(std::move(config)), writer_(config_.folder, {config_.keep_bytes, config_.keep_age}) {
    header_.name = std::move(name);
    header_.build = std::move(build);
    header_.capture = random_capture_id();
    const BlockedSignals blocked;
    thread_ = std::thread([this] { run_writer(); });
}

Recorder::~Recorder() {
    queue_open_block();
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

std::string Recorder::last_fault() const {
    const std::lock_guard lock(mutex_);
    return last_fault_;
}

void Recorder::stall_for_test(bool is_stalled) {
    const std::lock_guard lock(mutex_);
    is_stalled_ = is_stalled;
    wake_.notify_all();
}

void Recorder::begin_segment(TimePoint now, std::string state) {
    queue_open_block();
    faults_seen_ = faults_.load();
    header_.unix_ms = unix_milliseconds();
    header_.begins = now;
    QueuedBlock queued;
    queued.header = header_;
    queued.block.kind = BlockKind::state;
    queued.block.count = missing_frames_;  // lost before this state
    queued.block.first = now;
    queued.block.last = now;
    queued.block.bytes = std::move(state);
    segment_bytes_ = queued.block.bytes.size();
    segment_begin_ = now;
    wants_state_ = !enqueue(std::move(queued));
    if (wants_state_) return;
    missing_frames_ = 0;
    ++header_.segment;
}

void Recorder::record(TimePoint now, std::string_view event) {
    ++frames_;
    if (wants_state_) {  // the state could not be queued: the queue is full
        ++missing_frames_;
        ++dropped_;
        return;
    }
    if (open_block_.bytes.empty()) open_block_.first = now;
    open_block_.last = now;
    ++open_block_.count;
    append_frame(open_block_.bytes, event);
    const bool is_full = open_block_.bytes.size() >= target_block_bytes;
    if (is_full || now - open_block_.first >= max_block_age) queue_open_block();
    if (segment_bytes_ >= config_.segment_bytes || now - segment_begin_ >= config_.segment_age)
        wants_state_ = true;
}

void Recorder::tick(TimePoint now) {
    if (!open_block_.bytes.empty() && now - open_block_.first >= max_block_age) queue_open_block();
}

void Recorder::queue_open_block() {
    if (open_block_.bytes.empty()) return;
    segment_bytes_ += open_block_.bytes.size();
    const uint32_t frames = open_block_.count;
    QueuedBlock queued;
    queued.block = std::exchange(open_block_, Block{});
    if (enqueue(std::move(queued))) return;
    // Later events cannot be replayed without the dropped block, so a new segment begins with a state.
    dropped_ += frames;
    missing_frames_ += frames;
    wants_state_ = true;
}

bool Recorder::enqueue(QueuedBlock queued) {
    const size_t size = queued.block.bytes.size();
    {
        const std::lock_guard lock(mutex_);
        const bool has_room = queue_.empty() || queued_bytes_ + size <= config_.queue_bytes;
        if (!has_room) return false;
        queued_bytes_ += size;
        queue_.push_back(std::move(queued));
    }
    wake_.notify_one();
    return true;
}

void Recorder::run_writer() {
    while (const std::optional<QueuedBlock> next = wait_for_next()) write(*next);
    writer_.finish();
}

// Returns the next block, or nothing at the end of the recording.
std::optional<Recorder::QueuedBlock> Recorder::wait_for_next() {
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [&] { return is_stopping_ || (!queue_.empty() && !is_stalled_); });
    if (is_stopping_) {
        const auto now = std::chrono::steady_clock::now();
        if (!stop_deadline_) stop_deadline_ = now + stop_timeout;
        if (queue_.empty() || now > *stop_deadline_) return std::nullopt;
    }
    QueuedBlock next = std::move(queue_.front());
    queue_.pop_front();
    queued_bytes_ -= next.block.bytes.size();
    return next;
}

void Recorder::write(const QueuedBlock& queued) {
    const bool begins_segment = queued.block.kind == BlockKind::state;
    if (!begins_segment && !writer_.is_open()) return;  // this block's segment could not be written
    try {
        if (begins_segment)
            writer_.begin(queued.header, queued.block);
        else
            writer_.append(queued.block);
    } catch (const std::system_error& error) {
        record_fault(error.what());
        std::unique_lock lock(mutex_);
        if (begins_segment) wake_.wait_for(lock, retry_pause, [&] { return is_stopping_; });
    }
}

void Recorder::record_fault(const std::string& reason) {
    const std::lock_guard lock(mutex_);
    last_fault_ = reason;
    ++faults_;
}

}  // namespace headrouter::capture
