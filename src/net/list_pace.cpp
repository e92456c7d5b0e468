#include "net/list_pace.h"

#include <algorithm>

namespace headrouter {

namespace {
// An agent of this machine's own costs nothing and answers at once. A watch there waits only briefly: a
// connection that went silent is then found out well before what it should have brought is deemed told. The
// next watch follows at once, so nothing is missed in between.
constexpr Span own_watch = seconds(2), own_patience = seconds(0.7);
constexpr Span own_pause = seconds(0.05), own_longest = seconds(0.5);
// A shared service, in parts of the time in which every balancer is expected to ask it once. Asked more often
// than that by all together, it keeps calls in its queue until they are too old: what it does then is for
// callers that have gone, and nobody is answered as long as they all ask again at once. So a call once made
// is waited for, and who is turned away leaves the others their turn. A watch that goes on costs no new call.
constexpr Span usually_expected = seconds(10);
// A watch is at most a minute long by the protocol, and settings that name next to no time must not keep the
// balancer busy with watches of none.
constexpr Span shortest_expected = seconds(1), longest_expected = seconds(30);
constexpr double shared_watch = 2, shared_patience = 0.25;
constexpr double shared_pause = 0.025, shared_longest = 0.25, away_pause = 1;
// After a failed call the settings give a balancer four times as long.
constexpr double away_longest = 4;
// The least part of a pause: the rest is by chance, or all that failed together would come back together.
constexpr double least_part = 0.35;
// A list that old would be of no use; whoever advises more is taken to mean this.
constexpr Span longest_advice = seconds(30);
}  // namespace

ListPace::ListPace(bool shared, Span expected, uint64_t seed)
    : shared_(shared), watch_(own_watch), patience_(own_patience), chance_(seed) {
    unreachable_ = turned_away_ = {own_pause, own_longest, own_pause};
    if (!shared) return;
    const Span turn =
        expected.ns > 0 ? std::clamp(expected, shortest_expected, longest_expected) : usually_expected;
    watch_ = turn * shared_watch;
    patience_ = turn * shared_patience;
    unreachable_ = {turn * shared_pause, turn * shared_longest, turn * shared_pause};
    turned_away_ = {turn * away_pause, turn * away_longest, turn * away_pause};
}

// All that were turned away together were told the same: what they are told is the least, and up to as much
// again is by chance.
Span ListPace::pause(Fault fault, Span advised) {
    if (fault == Fault::turned_away && advised.ns > 0)
        return std::min(advised, longest_advice) * (1 + chance_.uniform());
    Steps& steps = fault == Fault::turned_away ? turned_away_ : unreachable_;
    const Span whole = steps.next;
    steps.next = std::min(whole * 2, steps.longest);
    return shared_ ? whole * (least_part + (1 - least_part) * chance_.uniform()) : whole;
}

void ListPace::answered() {
    unreachable_.next = unreachable_.first;
    turned_away_.next = turned_away_.first;
}

}  // namespace headrouter
