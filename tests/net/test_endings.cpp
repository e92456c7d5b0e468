// Whatever ends, at the instant that hurts most: docs/endings.md names the rows.
#include "helpers.h"
#include "peers_by_hand.h"
#include "world.h"

// A watch that falls silent, and an agent that was down and is back, both with kernel-made connects that
// hang: the news is there in time for half a second of grace after it counts.
static const Case what_the_agent_has_is_known_within_half_a_second_of_its_return{[] {
    World w;
    assert(w.says(w.discovery, "GET /v1/servers HTTP/1.1"));
    w.lists(R"({"generation":5,"reset":true,"instances":[{"instanceId":"s","hostPort":")" + w.server.at +
            R"(","lifecycle":"SERVING"}]})");
    assert(w.says(w.discovery, "since=5"));
    const Instant silent = Clock::now();
    Peer down = w.next(w.agent);  // silent: broken and opened anew
    assert(Clock::now() - silent < seconds(1.1));
    while (Clock::now() - silent < seconds(3)) {  // an outage: every call is taken and gets no answer
        Peer p = w.agent.accept();
        w.turn(0.01);
        if (p.fd) down = std::move(p);
    }
    const Instant back = Clock::now();
    w.discovery = w.next(w.agent);
    assert(w.says(w.discovery, "since=5"));
    w.lists(R"({"generation":6,"reset":false,"instances":[{"instanceId":"s","hostPort":")" + w.server.at +
            R"(","lifecycle":"DRAINING"}]})");
    assert(w.until([&] { return w.count(Count::lists_told) == 2; }));
    assert(Clock::now() - back < seconds(0.5));
}};
