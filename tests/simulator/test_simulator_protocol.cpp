#include "config/cluster_config.h"
#include "policy_helpers.h"
#include "simulator/simulator_session.h"

static const std::string boot =
    R"({"az":1,"groupSize":2,"slotNo":0,"discovery":"push","stepNs":2000000,"unheardOf":{"x":[1]},
"ceilings":{"maxLegs":4,"probing":true,"retryAfter":true,"maxRetryAfterNs":1500000000},
"invariants":{"answerSlackNs":8000000,"askEveryNs":10000000000,"coldNs":8700000000,"coldShare":0.31,
"drainGraceNs":3000000000,"fallMultiple":3.0,"fallNs":1000000000},
"domain":{"groups":true,"mode":"proxy","messageAimNs":[60000000,150000000],"tenantQuotaConnections":[5.5,null]},
"realms":[{"name":"x"},{"name":"y"}],
"trafficTypes":[{"effect":"pure","setupTargetNs":800000000,"guardTimeNs":3200000000},
{"effect":"token","keyScope":"cell","setupTargetNs":1,"guardTimeNs":2,"windowNs":3,"revenue":2.5}]})";

static std::string one_line(std::string s) {
    s.erase(std::remove(s.begin(), s.end(), '\n'), s.end());
    return s;
}

static const std::string spawn = R"({"Spawn":{"i":3,"prng":7,"bootInfo":)" + one_line(boot) + "}}";
static const std::string list =
    R"({"Discovery":{"i":3,"mode":"Complete","epoch":1,"lines":[{"units":1.5,"condition":"active",)"
    R"("failureDomain":1,"server":"s.a","familyType":0,"pod":2,"launchedNs":null}]}})";
static const std::string job =
    R"({"JobIn":{"i":3,"ref":42,"kind":0,"again":false,"repeat":false,"midFlow":false,"affinity":null,)"
    R"("costNs":null,"validUntilNs":3000000000,"room":"g","account":1}})";

static std::string error_of(const std::vector<std::string>& lines) {
    SimulatorSession session;
    session.handle_line(R"({"Clock":{"momentNs":1000}})");
    try {
        for (const std::string& line : lines) session.handle_line(line);
    } catch (const ParseError& error) {
        return error.what();
    }
    return "";
}

static std::string replaced(std::string line, const std::string& part, const std::string& replacement = "") {
    const size_t at = line.find(part);
    EXPECT_NE(at, std::string::npos);
    return line.replace(at, part.size(), replacement);
}

TEST(SimulatorProtocol, BootInfoIsParsedIntoSettings) {
    const PolicyConfig config = parse_cluster_config(one_line(boot)).policy;
    EXPECT_EQ(config.max_attempts, 4);
    EXPECT_TRUE(config.groups);
    EXPECT_FALSE(config.passthrough);
    EXPECT_FALSE(config.polls_endpoints);
    EXPECT_EQ(config.request_classes.size(), 2u);
    EXPECT_EQ(config.request_classes[1].idempotency, Idempotency::keyed);
    EXPECT_EQ(config.request_classes[1].dedup_scope, DedupScope::cell);
    EXPECT_EQ(config.request_classes[0].message_objective, millis(60));
    EXPECT_EQ(config.request_classes[1].dedup_window, Duration{3});
    EXPECT_EQ(config.tenants, 2);
    EXPECT_EQ(config.slow_start_time, seconds(8.7));
    EXPECT_EQ(config.max_retry_after, seconds(1.5));
}

TEST(SimulatorProtocol, BatchIsAnsweredWhenItEnds) {
    SimulatorSession session;
    for (const std::string& line : {std::string(R"({"Clock":{"momentNs":1000}})"), spawn, list, job})
        EXPECT_FALSE(session.handle_line(line));
    EXPECT_TRUE(session.handle_line(R"({"EofBatch":{}})"));
    const std::string& reply = session.reply();
    EXPECT_NE(reply.find(R"({"Assign":{"i":3,"ref":42,"server":"s.a","patienceNs":480000000}})"),
              std::string::npos);
    EXPECT_GT(reply.size(), 16u);
    EXPECT_EQ(reply.substr(reply.size() - 16), "{\"Finished\":{}}\n");
    session.handle_line(R"({"Clock":{"momentNs":2000}})");
    session.handle_line(R"({"EofBatch":{}})");
    EXPECT_EQ(session.reply(), "{\"Finished\":{}}\n");
}

// Guards against state that outlives an instance: a restarted instance ignores the timer and the request of
// its predecessor.
TEST(SimulatorProtocol, RestartedInstanceIgnoresItsPredecessorsEvents) {
    SimulatorSession session;
    for (const std::string& line : {std::string(R"({"Clock":{"momentNs":1000}})"), spawn, list, job})
        session.handle_line(line);
    // Malformed gossip, which the policy ignores.
    session.handle_line(R"({"Mail":{"i":3,"by":1,"contents":"x"}})");
    session.handle_line(R"({"Killed":{"i":3}})");
    session.handle_line(spawn);
    session.handle_line(R"({"Ring":{"i":3,"cookie":770}})");
    session.handle_line(R"({"Dropped":{"i":3,"ref":42}})");
    session.handle_line(R"({"EofBatch":{}})");
    const std::string& reply = session.reply();
    EXPECT_EQ(reply.find("Assign"), reply.rfind("Assign"));
}

TEST(SimulatorProtocol, ErrorNamesTheInvalidEventOrField) {
    const auto contains = [](const std::string& text, const std::string& part) {
        return text.find(part) != std::string::npos;
    };
    EXPECT_TRUE(error_of({spawn, list, job}).empty());
    EXPECT_TRUE(contains(error_of({"{\"Spawn\""}), "not JSON"));
    EXPECT_TRUE(contains(error_of({"\x80"}), "not JSON"));
    EXPECT_TRUE(contains(error_of({"[]"}), "single key"));
    EXPECT_TRUE(contains(error_of({R"({"Ring":{"i":9,"cookie":1}})"}), "instance 9 was never started"));
    EXPECT_TRUE(contains(error_of({spawn, R"({"Sang":{"i":3}})"}), "unknown event 'Sang'"));
    EXPECT_TRUE(contains(error_of({spawn, spawn}), "started twice"));
    for (const std::string part :
         {R"("ref":42,)", R"("kind":0,)", R"("again":false,)", R"("validUntilNs":3000000000,)"})
        EXPECT_TRUE(contains(error_of({spawn, list, replaced(job, part)}), "is missing"));
    EXPECT_TRUE(contains(error_of({spawn, list, replaced(job, "\"kind\":0", "\"kind\":2")}), "'kind'"));
    EXPECT_TRUE(contains(error_of({spawn, list, replaced(job, "\"kind\":0", "\"kind\":-1")}), "'kind'"));
    EXPECT_TRUE(
        contains(error_of({spawn, list, replaced(job, "\"account\":1", "\"account\":2")}), "'account'"));
    EXPECT_TRUE(contains(error_of({spawn, list, replaced(job, "42", "4.5")}), "'ref'"));
    EXPECT_TRUE(contains(error_of({spawn, list, replaced(job, "42", "99999999999999999999999")}), "'ref'"));
    EXPECT_TRUE(contains(error_of({spawn, replaced(list, "Complete", "Whole")}), "'mode'"));
    EXPECT_TRUE(contains(error_of({spawn, replaced(list, "\"server\":\"s.a\",")}), "'server'"));
    EXPECT_TRUE(contains(error_of({spawn, replaced(list, "1.5", "-1")}), "'units'"));
    EXPECT_TRUE(contains(error_of({replaced(spawn, "\"coldNs\":8700000000,")}), "'coldNs'"));
    EXPECT_TRUE(contains(error_of({replaced(spawn, "\"pure\"", "\"sure\"")}), "'effect'"));
    EXPECT_TRUE(contains(
        error_of({spawn, R"({"UpdateOf":{"i":3,"ref":1,"seqNo":0,"sort":2,"server":"x","x":1}})"}), "'x'"));
    EXPECT_TRUE(contains(error_of({R"({"Clock":{"momentNs":2000}})"}), "before the last one has ended"));
    EXPECT_TRUE(contains(error_of({R"({"EofBatch":{}})", spawn}), "outside a batch"));
    EXPECT_TRUE(contains(error_of({R"({"EofBatch":{}})", R"({"Clock":{"momentNs":1}})"}), "goes back"));
}
