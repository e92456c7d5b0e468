#include "downstream/idle_clients.h"

#include "downstream/request_line_deadline.h"

namespace headrouter {

namespace {

RequestLineProgress progress_of(const Client& client) {
    return {.connected_at = client.connected_at,
            .idle_since = client.idle_since,
            .line_started_at = client.line_started_at,
            .has_probed = client.has_probed,
            .has_partial_line = client.connection->has_partial_line()};
}

}  // namespace

void IdleClients::add(Client& client) { client.idle_position = clients_.insert(clients_.end(), &client); }

void IdleClients::remove(Client& client) { clients_.erase(client.idle_position); }

void IdleClients::refresh(Client& client, TimePoint now) {
    client.idle_since = now;
    clients_.splice(clients_.end(), clients_, client.idle_position);
}

Client* IdleClients::find_evictable(TimePoint now, const Grace& grace) const {
    for (const bool has_begun : {false, true}) {
        const Duration allowed = has_begun ? grace.for_whole_line : grace.for_first_byte;
        for (Client* const client : clients_) {
            if (now - client->idle_since < allowed) break;  // the others have been idle for a shorter time
            if (client->connection->has_partial_line() != has_begun) continue;
            if (!client->connection->has_unread_bytes()) return client;
        }
    }
    return nullptr;
}

bool IdleClients::is_expired(const Client& client, TimePoint now) {
    return now > request_line_deadline(progress_of(client));
}

std::vector<RequestId> IdleClients::expired(TimePoint now) const {
    std::vector<RequestId> ids;
    for (const Client* const client : clients_)
        if (is_expired(*client, now)) ids.push_back(client->connection->id());
    return ids;
}

std::vector<RequestId> IdleClients::silent() const {
    std::vector<RequestId> ids;
    for (const Client* const client : clients_) {
        const LineConnection& connection = *client->connection;
        if (!connection.has_partial_line() && !connection.has_unread_bytes()) ids.push_back(connection.id());
    }
    return ids;
}

std::vector<RequestId> IdleClients::ids() const {
    std::vector<RequestId> ids;
    for (const Client* const client : clients_) ids.push_back(client->connection->id());
    return ids;
}

}  // namespace headrouter
