#include "experiments/from_capture.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "base/parse_error.h"
#include "capture/event_codec.h"
#include "capture/replay.h"

namespace headrouter::experiments {
using namespace scenario;

namespace {

constexpr Duration settled = seconds(2);  // a key that stays away for longer is another client

class Reader {
   public:
    void take(const capture::RecordedEvent& f) {
        if (!begun_) first_ = f.at, begun_ = true;
        const TimePoint at = TimePoint{} + (f.at - first_);
        last_ = at;
        using capture::EventKind;
        switch (f.kind) {
            case EventKind::request_arrived: return arrived(at, f.request);
            case EventKind::load_report: return loaded(f.request_id, f.value);
            case EventKind::client_gone: return gone(at, f.request_id);
            case EventKind::attempt_ended:
                if (f.is_final) over(at, f.request_id);
                return;
            case EventKind::endpoints: return listed(at, f);
            default: return;
        }
    }

    FromCapture done() {
        FromCapture out;
        out.length = last_ - TimePoint{};
        out.requests = requests_;
        out.types = types_;
        for (const auto& [name, condition] : names_) out.servers.push_back(name);
        double load = 0;
        int with_load = 0;
        for (const Session& s : sessions_) load += s.load, with_load += s.load > 0;
        std::stable_sort(sessions_.begin(), sessions_.end(),
                         [](const Session& a, const Session& b) { return a.from < b.from; });
        for (size_t k = 0; k < sessions_.size(); ++k) {
            Session& s = sessions_[k];
            s.number = k;
            if (s.until <= s.from) s.until = last_ + settled;  // it was still there
            if (s.load <= 0) s.load = with_load ? load / with_load : 1000;
        }
        out.clients = sessions_.size();
        out.given.sessions = std::move(sessions_);
        const auto place = [&](const ServerId& id) {
            return static_cast<int>(std::lower_bound(out.servers.begin(), out.servers.end(), id) -
                                    out.servers.begin());
        };
        for (const auto& [id, action] : actions_) {
            out.given.actions.push_back(action);
            out.given.actions.back().target = place(id);
        }
        std::stable_sort(out.given.actions.begin(), out.given.actions.end(),
                         [](const ScheduledAction& a, const ScheduledAction& b) { return a.at < b.at; });
        return out;
    }

   private:
    void arrived(TimePoint at, const Request& request) {
        ++requests_;
        types_ = std::max(types_, request.type + 1);
        const std::string key = request.key.empty() ? "call " + std::to_string(request.id) : request.key;
        const auto known = by_key_.find(key);
        // A client that comes again does so by itself here.
        if (known != by_key_.end() && (sessions_[known->second].until <= sessions_[known->second].from ||
                                       at - sessions_[known->second].until < settled)) {
            sessions_[known->second].until = TimePoint{};
            by_request_[request.id] = known->second;
            return;
        }
        Session s;
        s.from = at;
        s.type = request.type;
        s.tenant = request.tenant;
        s.key = key;
        s.group = request.group;
        by_key_[key] = by_request_[request.id] = sessions_.size();
        sessions_.push_back(std::move(s));
    }
    void loaded(RequestId id, double micros) {
        if (const auto it = by_request_.find(id); it != by_request_.end())
            sessions_[it->second].load = micros;
    }
    void gone(TimePoint at, RequestId id) {
        const auto it = by_request_.find(id);
        if (it == by_request_.end()) return;
        sessions_[it->second].until = at;
        by_request_.erase(it);
    }
    // Ended by a server or a move: whether the client wants more shows when it comes again.
    void over(TimePoint at, RequestId id) { gone(at, id); }

    void listed(TimePoint at, const capture::RecordedEvent& f) {
        std::set<ServerId> named;
        for (const Endpoint& l : f.endpoints) {
            named.insert(l.server);
            const auto [it, is_new] = names_.emplace(l.server, l.state);
            const bool restarted =
                l.launched && (!launched_.contains(l.server) || launched_[l.server] < *l.launched);
            if (l.launched) launched_[l.server] = *l.launched;
            if (!is_new) change(at, l.server, it->second, l.state, restarted);
            it->second = l.state;
        }
        if (f.update_kind == EndpointUpdateKind::delta) return;
        for (auto& [id, condition] : names_)
            if (!named.contains(id))
                change(at, id, condition, EndpointState::removed, false), condition = EndpointState::removed;
    }
    void change(TimePoint at, const ServerId& id, EndpointState before, EndpointState now, bool restarted) {
        using What = ScheduledAction::What;
        const auto add = [&](What what) { actions_.emplace_back(id, ScheduledAction{at, what, -1, 0}); };
        if (now == EndpointState::draining && before == EndpointState::active)
            add(What::drain), add(What::list_draining);
        if (now == EndpointState::removed && before != EndpointState::removed)
            add(What::die), add(What::list_gone);
        if (now != EndpointState::active) return;
        if (restarted || before == EndpointState::removed) {
            add(What::die);  // and comes back cold: its connections broke, if they had not
            add(What::start_cold);
        } else if (before == EndpointState::draining) {
            add(What::answer_again);
        }
        if (restarted || before != EndpointState::active) add(What::list_serving);
    }

    bool begun_ = false;
    TimePoint first_, last_;
    uint64_t requests_ = 0;
    int types_ = 0;
    std::vector<Session> sessions_;
    std::unordered_map<std::string, size_t> by_key_;
    std::unordered_map<RequestId, size_t> by_request_;
    std::map<ServerId, EndpointState> names_;
    std::map<ServerId, TimePoint> launched_;
    std::vector<std::pair<ServerId, ScheduledAction>> actions_;
};

}  // namespace

FromCapture read_capture(const std::vector<std::string>& paths) {
    Reader reader;
    std::set<uint64_t> recordings;
    std::vector<ServerId> in_state;
    for (const std::string& path : paths)
        capture::read_segment_file(
            path, [&](const capture::SegmentHeader& h) { recordings.insert(h.capture); },
            [&](const capture::Block& b) {
                if (b.kind == capture::BlockKind::frames)
                    capture::for_each_frame(b.bytes, [&](std::string_view bytes) {
                        return reader.take(capture::decode(bytes)), true;
                    });
                return true;
            });
    if (recordings.size() > 1)
        throw ParseError("these are " + std::to_string(recordings.size()) +
                         " recordings; expected the segments of one balancer's");
    FromCapture out = reader.done();
    if (out.clients == 0) throw ParseError("no client comes in this capture");
    if (out.servers.empty())
        throw ParseError("no list in this capture: record from the start, or through a whole list");
    return out;
}

void play_capture(const FromCapture& from, Scenario& w, simulation::Arm& arm) {
    if (from.types > static_cast<int>(w.traffic.types.size()))
        throw ParseError("the capture's calls are of " + std::to_string(from.types) +
                         " traffic types; the experiment has " + std::to_string(w.traffic.types.size()));
    w.servers = static_cast<int>(from.servers.size());
    w.balancers = 1;
    w.incidents.clear();
    w.length = std::max(from.length, seconds(1));
    w.judged_from = std::min(w.judged_from, w.length * 0.5);
    for (const Session& s : from.given.sessions)
        if (!s.group.empty()) w.traffic.groups = std::max(w.traffic.groups, 1);
    for (const Session& s : from.given.sessions)
        w.traffic.tenants = std::max(w.traffic.tenants, s.tenant + 1);
    arm.given = std::make_shared<const simulation::Given>(from.given);
}

}  // namespace headrouter::experiments
