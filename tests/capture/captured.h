/// Creates small captures in memory: a RecordingPolicy with a few servers goes through a crash, a cold start
/// and a burst, and a recorder keeps the bytes.
#pragma once
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <utility>

#include "base/parse_error.h"
#include "capture/event_codec.h"
#include "capture/event_text.h"
#include "capture/recording_policy.h"
#include "capture/replay.h"
#include "policy_helpers.h"

namespace headrouter::capture {

/// Records a segment to memory.
struct MemoryRecorder : EventRecorder {
    std::string bytes;
    Block open_block;
    bool wants_new_state = true;
    uint32_t segment = 0;
    bool wants_state() const override { return wants_new_state; }
    void begin_segment(TimePoint now, std::string state) override {
        finish_block();
        const SegmentHeader header{"test", "n", 77, segment++, 0, now};
        bytes += encode(header);
        const Block block{BlockKind::state, 0, now, now, std::move(state)};
        bytes += encode(block);
        wants_new_state = false;
    }
    void record(TimePoint now, std::string_view text) override {
        if (open_block.bytes.empty()) open_block.first = now;
        open_block.last = now;
        ++open_block.count;
        append_frame(open_block.bytes, text);
    }
    void finish_block() {
        if (open_block.bytes.empty()) return;
        bytes += encode(open_block);
        open_block = Block{};
    }
    std::string finish() {
        finish_block();
        return bytes + encode(Block{BlockKind::index, 0, {}, {}, {}});
    }
};

/// Runs scripted traffic against a policy and answers the policy's actions as servers would: most attempts
/// are established after 5 ms, some end at capacity (BUSY) or with an error, and crash() resets connections.
struct ScriptedScenario : RecordingActions {
    RecordingPolicy policy;
    TimePoint now = cycle_start;
    std::vector<std::pair<RequestId, std::pair<ServerId, int>>> established;
    std::unordered_map<RequestId, int> attempt_counts;
    Pcg32 random{9};
    RequestId last_id = 0;
    explicit ScriptedScenario(EventRecorder* recorder, PolicyConfig config = grouped(), uint64_t seed = 3)
        : policy(std::move(config), seed, *this, cycle_start) {
        policy.record_to(recorder);
    }
    static PolicyConfig grouped() {
        PolicyConfig config = make_config();
        config.groups = true;
        return config;
    }
    void update_endpoints(const std::vector<Endpoint>& endpoints,
                          EndpointUpdateKind kind = EndpointUpdateKind::snapshot) {
        policy.on_endpoints(now, kind, endpoints);
    }
    /// Answers every attempt that was started, as the servers would.
    void answer_attempts() {
        for (const StartedAttempt& started : std::exchange(attempts, {})) {
            const int attempt = attempt_counts[started.request]++;
            const double draw = random.uniform();
            if (draw < 0.1) {
                policy.on_attempt_ended(now, started.request, attempt,
                                        draw < 0.05 ? AttemptOutcome::at_capacity : AttemptOutcome::error,
                                        millis(3), false, {});
                answer_attempts();
            } else {
                policy.on_attempt_established(now, started.request, attempt, millis(5));
                policy.on_load_report(now, started.request, 3000 + 2000 * random.uniform());
                established.push_back({started.request, {started.server, attempt}});
            }
        }
    }
    void fire_due_timers() {
        for (const Timer& timer : take_timers()) {
            if (timer.due > now) {
                timers.push_back(timer);
            } else {
                policy.on_timer(now, timer.token);
                answer_attempts();
            }
        }
    }
    void send_request() {
        ++last_id;
        const Request arriving = make_request(last_id, now, "key" + std::to_string(last_id % 50),
                                              "group" + std::to_string(last_id % 13));
        policy.on_request(now, arriving);
        answer_attempts();
    }
    /// Sends `count` requests, `gap` apart. Some clients leave, and server B reports its latency at times.
    void send_requests(int count, Duration gap) {
        for (int k = 0; k < count; ++k) {
            now = now + gap;
            send_request();
            fire_due_timers();
            if (k % 7 == 3 && !established.empty()) {
                policy.on_client_gone(now, established.front().first);
                established.erase(established.begin());
            }
            if (k % 40 == 39) policy.on_latency_report(now, "B", 20 + k);
        }
    }
    /// Ends all established requests of a server with a reset.
    void crash(const ServerId& server) {
        std::erase_if(established, [&](const auto& entry) {
            if (entry.second.first != server) return false;
            policy.on_attempt_ended(now, entry.first, entry.second.second, AttemptOutcome::reset, millis(1),
                                    true, {});
            return true;
        });
    }
    /// Runs the "bad day" scenario: a third of the servers crash together and come back cold, then a burst
    /// follows.
    void play_bad_day(int scale = 1) {
        update_endpoints(make_endpoints(6));
        send_requests(60 * scale, millis(40));
        crash("A");
        crash("D");
        update_endpoints({Endpoint{"A", 1, EndpointState::removed, 0, 0, {}},
                          Endpoint{"D", 2, EndpointState::removed, 0, 0, {}}},
                         EndpointUpdateKind::delta);
        send_requests(30 * scale, millis(40));
        for (const char* id : {"A", "D"}) {
            Endpoint restarted = make_endpoint(id, 1.5);
            restarted.launched = now;
            update_endpoints({restarted}, EndpointUpdateKind::delta);
        }
        send_requests(120 * scale, millis(8));
        PolicyConfig config = grouped();
        config.max_retry_after = seconds(1);
        policy.reconfigure(now, config);
        send_requests(30 * scale, millis(40));
    }
};

/// Returns the bytes of a segment that records the "bad day" scenario.
inline std::string record_bad_day(int scale = 1) {
    MemoryRecorder recorder;
    ScriptedScenario scenario(&recorder);
    scenario.play_bad_day(scale);
    return recorder.finish();
}

/// Returns a source for `read_segment` that reads from memory. `bytes` must outlive the source.
inline auto reader_of(std::string_view bytes) {
    return [bytes](char* into, size_t size) mutable {
        size = std::min(size, bytes.size());
        bytes.copy(into, size);
        bytes.remove_prefix(size);
        return size;
    };
}

/// A folder that is removed, with all its files, by the destructor.
struct TemporaryFolder {
    std::string path =
        (std::filesystem::temp_directory_path() / ("captures-" + std::to_string(getpid()))).string();
    TemporaryFolder() {
        std::filesystem::remove_all(path);
        std::filesystem::create_directories(path);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    std::string write_file(const std::string& bytes, const std::string& name = "x.hrc") const {
        std::ofstream(path + "/" + name, std::ios::binary) << bytes;
        return path + "/" + name;
    }
};

}  // namespace headrouter::capture
