#include "proxy/capture_control.h"

#include <utility>

#include "transport/clock.h"

namespace headrouter {

CaptureControl::CaptureControl(RequestRouter& router, Counters& counters, Log& log)
    : router_(router), counters_(counters), log_(log) {}

CaptureControl::~CaptureControl() { router_.record_to(nullptr); }

void CaptureControl::start(const capture::RecorderConfig& settings, const std::string& balancer_name) {
    stop();
    recorder_ = std::make_unique<capture::Recorder>(settings, balancer_name, HEADROUTER_VERSION);
    router_.record_to(recorder_.get());
    log_.info("recording_started", {{"folder", settings.folder}});
}

void CaptureControl::stop() {
    if (!recorder_) return;
    router_.record_to(nullptr);
    check(Clock::now());
    recorder_.reset();
    counted_frames_ = 0;
    counted_dropped_ = 0;
    counted_faults_ = 0;
    log_.info("recording_stopped");
}

void CaptureControl::check(TimePoint now) {
    if (!recorder_) return;
    recorder_->tick(now);
    update_counters();
    report_faults();
}

void CaptureControl::update_counters() {
    const uint64_t frames = recorder_->frames();
    const uint64_t dropped = recorder_->dropped();
    counters_.add(Counter::capture_events, frames - std::exchange(counted_frames_, frames));
    counters_.add(Counter::capture_dropped, dropped - std::exchange(counted_dropped_, dropped));
}

// Logs the first disk failure of each recording; the counter has the number of failures.
void CaptureControl::report_faults() {
    const uint64_t faults = recorder_->faults();
    if (faults == counted_faults_) return;
    if (counted_faults_ == 0) log_.warning("recording_failed", {{"error", recorder_->last_fault()}});
    counters_.add(Counter::capture_faults, faults - counted_faults_);
    counted_faults_ = faults;
}

}  // namespace headrouter
