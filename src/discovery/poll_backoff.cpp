#include "discovery/poll_backoff.h"

#include <algorithm>

namespace headrouter {

namespace {

// Requests to a local agent are cheap and answered at once, and its list counts as known to the balancer
// whether or not the balancer has requested it. Watches of an agent are therefore short: a silent
// connection, or an agent that is up again, is detected within a second, well inside the shortest usual
// drain grace period, and not only at the end of a long watch. The next watch follows at once, so no
// change is missed in between.
constexpr Duration agent_watch_time = seconds(0.5);
constexpr Duration agent_watch_timeout = seconds(0.4);
constexpr Duration agent_snapshot_timeout = seconds(0.7);
// An agent or a service that is only slow answers after the response timeouts. Its answer is awaited as long
// as the longest watch that the protocol allows.
constexpr Duration longest_late_response = seconds(60);
// While the agent is down, requests follow in quick succession, each on a new connection: the kernel
// repeats an unanswered connect only after one second, then after two.
constexpr Duration failing_agent_watch_time = millis(50);
constexpr Duration failing_agent_watch_timeout = millis(200);
constexpr Duration agent_first_pause = seconds(0.05);
constexpr Duration agent_longest_pause = seconds(0.1);

// The times for a shared service are fractions of the poll interval, in which every balancer is expected
// to send one request. If all balancers together exceed that rate, requests wait in the service's queue
// until they have timed out: the service then works for clients that have given up, and no balancer gets
// an answer as long as all retry at once. So a balancer waits for the response to a request that it has
// sent, and one that was rejected pauses so that others get their answers. A watch that continues costs no
// new request.
constexpr Duration default_poll_interval = seconds(10);
// A tiny configured interval must not keep the balancer busy with requests.
constexpr Duration min_poll_interval = seconds(1);
constexpr Duration max_poll_interval = seconds(30);
constexpr double queue_timeout_fraction = 0.25;
// Changes that a silent watch misses count as known 6 s after the watch went silent (2 s after its watch
// time, if that is later). All balancers whose watches went silent send new requests, which queue: these
// timeouts are short to leave them the rest of the 6 s. A watch that continues does not queue.
constexpr Duration shared_watch_time = seconds(1.5);
constexpr Duration shared_watch_timeout = seconds(0.4);
constexpr double unreachable_first_fraction = 0.025;
constexpr double unreachable_longest_fraction = 0.25;
constexpr double rejected_first_fraction = 1;
// After a failed request the settings allow a balancer four times the interval.
constexpr double rejected_longest_fraction = 4;
// The fixed fraction of a pause. The rest is random; otherwise all balancers that failed together would retry
// together.
constexpr double min_pause_fraction = 0.35;
// Upper bound of a Retry-After delay: a list that is older than this would be of no use.
constexpr Duration max_retry_after = seconds(30);

}  // namespace

Duration PollBackoff::ExponentialPause::advance() {
    const Duration pause = next;
    next = std::min(pause * 2, longest);
    return pause;
}

PollBackoff::PollBackoff(DiscoveryKind kind, Duration poll_interval, uint64_t seed)
    : kind_(kind),
      unreachable_pause_(ExponentialPause::between(agent_first_pause, agent_longest_pause)),
      rejected_pause_(ExponentialPause::between(agent_first_pause, agent_longest_pause)),
      jitter_(seed) {
    if (!is_shared()) return;
    const Duration interval = poll_interval.ns > 0
                                  ? std::clamp(poll_interval, min_poll_interval, max_poll_interval)
                                  : default_poll_interval;
    queue_timeout_ = interval * queue_timeout_fraction;
    unreachable_pause_ = ExponentialPause::between(interval * unreachable_first_fraction,
                                                   interval * unreachable_longest_fraction);
    rejected_pause_ =
        ExponentialPause::between(interval * rejected_first_fraction, interval * rejected_longest_fraction);
}

Duration PollBackoff::watch_time() const {
    if (is_shared()) return shared_watch_time;
    return is_failing_ ? failing_agent_watch_time : agent_watch_time;
}

Duration PollBackoff::response_timeout(bool is_snapshot_request) const {
    if (is_shared()) return is_following_ && !is_snapshot_request ? shared_watch_timeout : queue_timeout_;
    if (is_snapshot_request) return agent_snapshot_timeout;
    return is_failing_ ? failing_agent_watch_timeout : agent_watch_timeout;
}

Duration PollBackoff::late_response_timeout() { return longest_late_response; }

// Balancers that were rejected together received the same Retry-After: each waits at least that long, plus a
// random time of up to the same length.
Duration PollBackoff::next_pause(PollFailure failure, Duration retry_after) {
    is_failing_ = true;
    is_following_ = false;
    if (failure == PollFailure::rejected && retry_after.ns > 0)
        return std::min(retry_after, max_retry_after) * (1 + jitter_.uniform());
    ExponentialPause& steps = failure == PollFailure::rejected ? rejected_pause_ : unreachable_pause_;
    const Duration pause = steps.advance();
    return is_shared() ? pause * (min_pause_fraction + (1 - min_pause_fraction) * jitter_.uniform()) : pause;
}

void PollBackoff::on_late_success() {
    if (!is_shared()) on_success();
}

void PollBackoff::on_success() {
    is_failing_ = false;
    is_following_ = true;
    unreachable_pause_.reset();
    rejected_pause_.reset();
}

}  // namespace headrouter
