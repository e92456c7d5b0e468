#include "simulation/simulated_clients.h"

#include <algorithm>

namespace headrouter::simulation {
using namespace scenario;

namespace {

Answer answer_of(BalancerAnswer answer) {
    switch (answer) {
        case BalancerAnswer::rejected: return Answer::busy;
        case BalancerAnswer::failed: return Answer::failed;
        default: return Answer::ended;
    }
}

}  // namespace

SimulatedClients::SimulatedClients(SimulationContext& context, RequestTable& requests,
                                   const ClientFront& front, std::vector<Session> sessions)
    : context_(context),
      requests_(requests),
      front_(front),
      sessions_(std::move(sessions)),
      clients_(sessions_.size()),
      wanting_(context.world.traffic.types.size()) {}

void SimulatedClients::schedule_sessions() {
    for (const Session& session : sessions_) {
        context_.events.schedule(session.from, SessionBegins{session.number});
        if (session.until < context_.end())
            context_.events.schedule(session.until, SessionEnds{session.number});
    }
}

double SimulatedClients::revenue_asked() const {
    const std::vector<RequestClassSpec>& types = context_.world.traffic.types;
    double asked = 0;
    for (size_t type = 0; type < types.size(); ++type) asked += wanting_[type] * types[type].revenue;
    return asked;
}

void SimulatedClients::on(const SessionBegins& event) {
    const Session& session = sessions_[event.session];
    wanting_[static_cast<size_t>(session.type)] += 1;
    clients_[event.session].retry.emplace(context_.world.traffic, std::min(session.until, context_.end()));
    connect(event.session);
}

void SimulatedClients::on(const SessionEnds& event) {
    Client& client = clients_[event.session];
    wanting_[static_cast<size_t>(sessions_[event.session].type)] -= 1;
    if (client.state == Client::State::asking || client.state == Client::State::established)
        leave_request(client.request, false);
    client.state = Client::State::over;
}

void SimulatedClients::on(const ClientConnects& event) { connect(event.session); }

void SimulatedClients::connect(size_t number) {
    Client& client = clients_[number];
    const Session& session = sessions_[number];
    if (client.state != Client::State::away) return;
    const Duration latency = context_.world.client_latency;
    const std::optional<int> chosen = front_.choose(session.zone, context_.chance);
    if (!chosen || !context_.mailboxes.is_running(*chosen))
        return retry_failed(number, context_.now() + latency * 2);
    const int balancer = *chosen;
    client.request = request_id(number, ++client.tries);
    client.state = Client::State::asking;
    requests_.open(client.request, number, balancer, context_.mailboxes.life(balancer));
    context_.checker.opened(context_.now(), client.request, session.type, balancer);
    context_.send(balancer, RequestReceived{client.request, &session, client.is_reconnect}, latency);
    const Duration deadline = context_.world.traffic.types[static_cast<size_t>(session.type)].deadline;
    context_.events.schedule(context_.now() + deadline, DeadlineExpires{client.request});
}

void SimulatedClients::retry_failed(size_t session, TimePoint failed_at) {
    Client& client = clients_[session];
    client.state = Client::State::away;
    come_again(session, client.retry->after_failure(failed_at, context_.chance));
}

void SimulatedClients::come_again(size_t session, std::optional<TimePoint> at) {
    if (at) return context_.events.schedule(*at, ClientConnects{session});
    Client& client = clients_[session];
    if (client.retry->gave_up()) ++context_.outcome.gave_up;
    client.state = Client::State::over;
}

void SimulatedClients::leave_request(uint64_t id, bool waited) {
    SimulatedRequest* request = requests_.find(id);
    if (!request || request->client_gone) return;
    request->client_gone = true;
    context_.checker.client_left(id, waited);
    context_.send(request->balancer, ClientDisconnected{id}, context_.world.client_latency);
    requests_.erase_if_over(id);
}

void SimulatedClients::on(const DeadlineExpires& event) {
    const SimulatedRequest* request = requests_.find(event.request);
    if (!request || request->client_gone) return;
    const size_t session = request->session;
    const Client& client = clients_[session];
    if (client.request != event.request || client.state != Client::State::asking) return;
    leave_request(event.request, true);
    retry_failed(session, context_.now());
}

void SimulatedClients::established(size_t session, uint64_t id) {
    Client& client = clients_[session];
    context_.checker.answered(context_.now(), id, Answer::up);
    ++context_.outcome.up;
    client.state = Client::State::established;
    client.retry->came_up();
}

void SimulatedClients::on(const AnswerArrives& event) {
    SimulatedRequest* request = requests_.find(event.request);
    if (!request || request->client_gone) return;
    const size_t session = request->session;
    Client& client = clients_[session];
    if (client.request != event.request) return;
    if (event.answer == BalancerAnswer::established) return established(session, event.request);
    const bool was_established = client.state == Client::State::established;
    const TimePoint now = context_.now();
    request->client_gone = true;
    client.state = Client::State::away;
    context_.checker.answered(now, event.request, answer_of(event.answer));
    requests_.erase_if_over(event.request);
    if (now >= std::min(sessions_[session].until, context_.end())) return;
    Outcome& outcome = context_.outcome;
    Pcg32& chance = context_.chance;
    switch (event.answer) {
        case BalancerAnswer::rejected:
            ++outcome.busy;
            return come_again(session, client.retry->after_busy(now, event.retry_after, chance));
        case BalancerAnswer::failed:
            ++outcome.failed;
            return come_again(session, client.retry->after_failure(now, chance));
        default:
            ++(event.answer == BalancerAnswer::migrated ? outcome.moved : outcome.broken);
            client.is_reconnect = true;
            return come_again(session, was_established ? client.retry->after_break(now, chance)
                                                       : client.retry->after_failure(now, chance));
    }
}

void SimulatedClients::drop(double part) {
    for (size_t session = 0; session < clients_.size(); ++session) {
        Client& client = clients_[session];
        if (client.state != Client::State::established || context_.chance.uniform() >= part) continue;
        leave_request(client.request, false);
        client.state = Client::State::away;
        client.is_reconnect = true;
        come_again(session, client.retry->after_break(context_.now(), context_.chance));
    }
}

void SimulatedClients::connection_broke(size_t session) {
    Client& client = clients_[session];
    if (client.state == Client::State::over) return;
    const bool was_established = client.state == Client::State::established;
    client.state = Client::State::away;
    client.is_reconnect = true;
    ++context_.outcome.broken;
    come_again(session, was_established ? client.retry->after_break(context_.now(), context_.chance)
                                        : client.retry->after_failure(context_.now(), context_.chance));
}

}  // namespace headrouter::simulation
