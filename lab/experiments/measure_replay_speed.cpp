#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "capture/recorder.h"
#include "capture/replay.h"
#include "experiments/experiment.h"
#include "experiments/measure_definitions.h"
#include "experiments/measure_support.h"

namespace headrouter::experiments {
using namespace scenario;

// The module told by itself, taken down to disk, then played: events a second, and the memory held.
int replay_speed(const Measuring& m) {
    const uint64_t wanted = m.quick ? 1'000'000 : 10'000'000;
    const TempFolder folder;
    struct Nobody : PolicyActions {
        std::vector<RequestId> sent;
        std::deque<std::pair<TimePoint, uint64_t>> timers;
        void start_attempt(RequestId c, const ServerId&, Duration) override { sent.push_back(c); }
        void reject(RequestId, Duration) override {}
        void fail(RequestId) override {}
        void migrate(RequestId) override {}
        void set_timer(TimePoint at, uint64_t token) override { timers.emplace_back(at, token); }
        void watch_endpoints() override {}
        void send_gossip(int, const std::string&) override {}
    } nobody;
    const Scenario w;
    uint64_t frames = 0;
    {
        capture::RecorderConfig keeping;
        keeping.folder = folder.path();
        keeping.keep_bytes = size_t{16} << 30;
        keeping.queue_bytes = 512 << 20;  // this loop outruns any disk; a balancer does not
        capture::Recorder recorder(keeping, "measure", "lab");
        TimePoint now = TimePoint{} + seconds(1000);
        capture::RecordingPolicy ear(deployment_of(w, 0), 1, nobody, now);
        ear.record_to(&recorder);
        std::vector<Endpoint> list;
        for (int k = 0; k < 30; ++k) list.push_back({server_name(k), 1, EndpointState::active, k % 2, 0, {}});
        ear.on_endpoints(now, EndpointUpdateKind::snapshot, list);
        std::deque<RequestId> standing;
        for (RequestId id = 1; recorder.frames() < wanted; ++id) {
            if (m.stop && m.stop->load()) return not_judged;
            now = now + millis(1);
            Request request;
            request.id = id;
            request.key = std::to_string(id % 5000);
            request.deadline = now + seconds(2);
            ear.on_request(now, request);
            for (const RequestId c : std::exchange(nobody.sent, {})) {
                ear.on_attempt_established(now, c, 0, millis(2));
                ear.on_load_report(now, c, 8000.0 + static_cast<double>(c % 1000));
                standing.push_back(c);
            }
            if (standing.size() > 600) ear.on_client_gone(now, standing.front()), standing.pop_front();
            while (!nobody.timers.empty() && nobody.timers.front().first <= now) {
                const auto timer = nobody.timers.front();
                nobody.timers.pop_front();
                ear.on_timer(now, timer.second);
            }
        }
        ear.record_to(nullptr);
        frames = recorder.frames();
        if (recorder.dropped() > 0)
            return std::printf("the disk did not keep up: %" PRIu64 " dropped\n", recorder.dropped()),
                   not_judged;
    }
    const std::vector<std::string> paths = capture::segments_at(folder.path());
    double bytes = 0;
    for (const std::string& p : paths) bytes += static_cast<double>(std::filesystem::file_size(p));
    const auto held = [] {  // resident now, in MB
        std::ifstream in("/proc/self/statm");
        double all = 0, resident = 0;
        in >> all >> resident;
        return resident * 4096 / 1e6;
    };
    double early = 0, late = 0;
    uint64_t seen = 0;
    const auto began = std::chrono::steady_clock::now();
    capture::ReplayObserver observer;
    observer.after_event = [&](const capture::RecordedEvent&, const std::vector<capture::RecordedAction>&) {
        ++seen;
        if (seen == wanted / 5) early = held();
        if (seen == wanted - 1) late = held();
        return true;
    };
    const capture::ReplayResult v = capture::replay(paths, observer);
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    const double speed = static_cast<double>(v.events) / took;
    const bool same = v.outcome == capture::ReplayResult::Outcome::same && v.events == frames;
    const bool ok = same && speed > 500'000 && late < early * 1.2 + 5;
    std::printf("%" PRIu64
                " events in %zu segments, %.0f MB, %.1f bytes an event; replayed in %.1f s: %.0f events a "
                "second, %s\n",
                v.events, paths.size(), bytes / 1e6, bytes / static_cast<double>(frames), took, speed,
                same ? "the same" : v.reason.c_str());
    std::printf("memory held after a fifth %.0f MB, at the end %.0f MB\nmachine: %s, one thread\n", early,
                late, machine().c_str());
    std::printf("{\"measure\":\"replay-speed\",\"ok\":%s,\"quick\":%s,\"events\":%" PRIu64
                ",\"events_a_second\":%.0f,\"mb_early\":%.1f,\"mb_late\":%.1f,\"same\":%s}\n",
                ok ? "true" : "false", m.quick ? "true" : "false", v.events, speed, early, late,
                same ? "true" : "false");
    return ok ? 0 : claim_failed;
}

}  // namespace headrouter::experiments
