/// Turns the recording of the policy's events on and off.
#pragma once
#include <cstdint>
#include <memory>
#include <string>

#include "admin/counters.h"
#include "admin/log.h"
#include "capture/recorder.h"
#include "router/request_router.h"

namespace headrouter {

/// Owns the recorder of a running balancer. A disk that is full or fails never stops requests: events are
/// dropped, counted and reported once. On the loop's thread; the recorder writes from a thread of its own.
class CaptureControl {
   public:
    CaptureControl(RequestRouter&, Counters&, Log&);
    ~CaptureControl();
    CaptureControl(const CaptureControl&) = delete;
    CaptureControl& operator=(const CaptureControl&) = delete;

    /// Begins a new recording, in place of the present one where there is one.
    void start(const capture::RecorderConfig&, const std::string& balancer_name);
    void stop();
    bool is_recording() const { return recorder_ != nullptr; }

    /// Hands over what has waited, and counts; to be called a few times a second.
    void check(TimePoint now);

   private:
    void count();
    void report_faults();

    RequestRouter& router_;
    Counters& counters_;
    Log& log_;
    std::unique_ptr<capture::Recorder> recorder_;
    // Of the present recorder, as counted last.
    uint64_t counted_frames_ = 0;
    uint64_t counted_dropped_ = 0;
    uint64_t counted_faults_ = 0;
};

}  // namespace headrouter
