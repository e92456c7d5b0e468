/// Starts and stops the recording of the policy's events to capture files.
#pragma once
#include <cstdint>
#include <memory>
#include <string>

#include "admin/counters.h"
#include "admin/log.h"
#include "capture/recorder.h"
#include "router/request_router.h"

namespace headrouter {

/// Owns the recorder of a running balancer. A full or failing disk never blocks requests: events are dropped
/// and counted, and the failure is logged once. Used on the event loop's thread; the recorder writes on a
/// thread of its own.
class CaptureControl {
   public:
    CaptureControl(RequestRouter&, Counters&, Log&);
    ~CaptureControl();
    CaptureControl(const CaptureControl&) = delete;
    CaptureControl& operator=(const CaptureControl&) = delete;

    /// Begins a new recording; ends the current one first, if there is one.
    void start(const capture::RecorderConfig&, const std::string& balancer_name);
    void stop();
    bool is_recording() const { return recorder_ != nullptr; }

    /// Passes waiting events to the recorder's thread and updates the counters. Call it a few times a second.
    void check(TimePoint now);

   private:
    void update_counters();
    void report_faults();

    RequestRouter& router_;
    Counters& counters_;
    Log& log_;
    std::unique_ptr<capture::Recorder> recorder_;
    // The current recorder's totals when the counters were last updated.
    uint64_t counted_frames_ = 0;
    uint64_t counted_dropped_ = 0;
    uint64_t counted_faults_ = 0;
};

}  // namespace headrouter
