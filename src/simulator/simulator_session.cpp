#include "simulator/simulator_session.h"

#include <utility>

#include "config/cluster_config.h"
#include "config/json.h"
#include "simulator/event_parser.h"

namespace headrouter {

using json::Json;

namespace {

/// Values of the field `sort` of an UpdateOf event.
enum class ReportSort { load = 1, latency = 2 };

RequestId parse_request_id(const Json& fields) {
    return static_cast<RequestId>(json::natural(fields, "ref"));
}

/// Returns the server that an event names. Throws ParseError if no endpoint list of the instance had it.
std::string parse_known_server(const Json& fields, const BalancingPolicy& policy) {
    std::string server = json::text(fields, "server");
    if (!policy.has_server(server))
        throw ParseError("server '" + server + "' is in no endpoint list of this instance");
    return server;
}

}  // namespace

bool SimulatorSession::handle_line(const std::string& line) {
    rapidjson::Document document;
    json::parse(document, line);
    if (!document.IsObject() || document.MemberCount() != 1 || !document.MemberBegin()->value.IsObject())
        throw ParseError("message is not an object with a single key whose value is an object");
    const std::string event = document.MemberBegin()->name.GetString();
    const Json& fields = document.MemberBegin()->value;

    if (event == "Clock") {
        begin_batch(fields);
        return false;
    }
    if (!in_batch_) throw ParseError("event '" + event + "' is outside a batch");
    if (event == "EofBatch") {
        end_batch();
        return true;
    }
    const int number = json::small(fields, "i");
    if (event == "Spawn") {
        start_instance(number, fields);
        return false;
    }
    const auto instance = instances_.find(number);
    if (instance == instances_.end())
        throw ParseError("instance " + std::to_string(number) + " was never started");
    if (event == "Killed")
        instances_.erase(instance);
    else
        dispatch(event, *instance->second.policy, fields);
    return false;
}

void SimulatorSession::begin_batch(const Json& fields) {
    if (in_batch_) throw ParseError("batch begins before the last one has ended");
    const TimePoint now{json::integer(fields, "momentNs")};
    if (has_time_ && now < now_)
        throw ParseError("clock goes back: 'momentNs' is before that of the last batch");
    now_ = now;
    has_time_ = true;
    in_batch_ = true;
    reply_.clear();
}

void SimulatorSession::end_batch() {
    in_batch_ = false;
    reply_ += "{\"Finished\":{}}\n";
}

void SimulatorSession::start_instance(int number, const Json& fields) {
    const auto seed = static_cast<uint64_t>(json::integer(fields, "prng"));
    PolicyConfig config = parse_policy_config(json::object(fields, "bootInfo"));
    if (instances_.contains(number))
        throw ParseError("instance " + std::to_string(number) + " is started twice");
    Instance instance;
    instance.actions = std::make_unique<ActionWriter>(number, reply_);
    instance.policy = std::make_unique<BalancingPolicy>(std::move(config), seed, *instance.actions, now_);
    instances_.emplace(number, std::move(instance));
}

void SimulatorSession::dispatch(const std::string& event, BalancingPolicy& policy, const Json& fields) {
    if (dispatch_request_event(event, policy, fields)) return;
    if (event == "UpdateOf") {
        handle_report(policy, fields);
    } else if (event == "Ring") {
        policy.on_timer(now_, static_cast<uint64_t>(json::natural(fields, "cookie")));
    } else if (event == "Probed") {
        // Only checks the event: the policy starts no probes and uses no probe results.
        parse_known_server(fields, policy);
    } else if (event == "Discovery") {
        const EndpointUpdateKind kind = parse_update_kind(fields);
        policy.on_endpoints(now_, kind, parse_endpoints(fields, kind));
    } else if (event == "Mail") {
        const int sender = json::small(fields, "by");
        // The policy ignores a message that it cannot parse: another version sent it, or it was damaged in
        // transit.
        policy.on_gossip(now_, sender, json::text(fields, "contents"));
    } else {
        throw ParseError("unknown event '" + event + "'");
    }
}

bool SimulatorSession::dispatch_request_event(const std::string& event, BalancingPolicy& policy,
                                              const Json& fields) {
    if (event == "JobIn") {
        policy.on_request(now_, parse_request(fields, policy.config()));
    } else if (event == "Inherited") {
        policy.on_request_adopted(now_, parse_request(fields, policy.config()), json::text(fields, "server"));
    } else if (event == "Dropped") {
        policy.on_client_gone(now_, parse_request_id(fields));
    } else if (event == "Established") {
        policy.on_attempt_established(now_, parse_request_id(fields), json::small(fields, "seqNo"),
                                      json::span(fields, "costTimeNs"));
    } else if (event == "Returned") {
        policy.on_attempt_ended(now_, parse_request_id(fields), json::small(fields, "seqNo"),
                                parse_outcome(fields), json::span(fields, "costTimeNs"),
                                json::flag(fields, "final"), parse_load_report(fields));
    } else {
        return false;
    }
    return true;
}

void SimulatorSession::handle_report(BalancingPolicy& policy, const Json& fields) const {
    const int sort = json::small(fields, "sort");
    if (sort == static_cast<int>(ReportSort::load))
        policy.on_load_report(now_, parse_request_id(fields), json::real(fields, "x"));
    if (sort == static_cast<int>(ReportSort::latency))
        policy.on_latency_report(now_, parse_known_server(fields, policy), json::real(fields, "x"));
}

}  // namespace headrouter
