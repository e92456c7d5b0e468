// Plays captures again: the same Brain, told the same, must do the same.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "capture/frame.h"
#include "capture/segment.h"

namespace headrouter::capture {

// A Brain brought back from a state, with what it does since the last look.
class Player : private Actions {
   public:
    void restore(std::string_view state);  // throws Malformed
    std::string state() const { return state_of(*brain_); }
    bool ready() const { return brain_ != nullptr; }
    const std::vector<Did>& tell(const Frame&);  // throws Malformed; what it did
    Brain& brain() { return *brain_; }

   private:
    void send_leg(CallId, const ServerId&, Span) override;
    void reject(CallId, Span) override;
    void release(CallId) override;
    void move(CallId) override;
    void set_timer(Instant, uint64_t) override;
    void watch_list() override;
    void tell_peer(int, const std::string&) override;
    std::vector<Did> did_;
    std::unique_ptr<Brain> brain_;
};

struct Verdict {
    enum class What {
        same,
        differs,     // an action, or the state at the head of a segment
        incomplete,  // played as far as it goes: cut off, damaged, too new, or a gap
    } what = What::same;
    uint64_t frames = 0, actions = 0, segments = 0, gap = 0;
    Instant first, last;
    std::string why;  // the first difference with the event before it, or where it ended
};

// `each`, where given, sees every frame before it is told and what this build did on it; false stops.
using Each = std::function<bool(Player&, const Frame&, const std::vector<Did>* did)>;
Verdict replay(const std::vector<std::string>& paths, const Each& each = {});

// Reads a file's frames without a Brain; what is read, and how it ended.
Reading read_file(const std::string& path, const std::function<void(const Header&)>&,
                  const std::function<bool(const Block&)>&);

}  // namespace headrouter::capture
