#include "hot_restart/transfer_state.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

#include "base/parse_error.h"
#include "capture/archive.h"
#include "hot_restart/balancer_state.h"
#include "hot_restart/state_version.h"

namespace headrouter::hot_restart {

namespace {

// A state is packed moments before it is restored. A greater age means that its times are of another
// machine's clock or that a process was stopped meanwhile.
constexpr Duration max_age = seconds(5);

uint64_t checksum_of(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

// Wraps the state's bytes together with the fields that decide whether this process can use them.
struct Envelope {
    std::string version_name;
    TimePoint packed_at;
    uint64_t checksum = 0;
    std::string state;
};

template <class Visitor>
void for_each_field(Envelope& envelope, Visitor visit) {
    visit(envelope.version_name);
    visit(envelope.packed_at);
    visit(envelope.checksum);
    visit(envelope.state);
}

std::string encode(Envelope envelope) {
    std::string bytes;
    capture::ByteWriter writer(bytes);
    visit(writer, envelope);
    return bytes;
}

Envelope decode_envelope(std::string_view bytes) {
    Envelope envelope;
    capture::ByteReader reader(bytes, "the transfer");
    visit(reader, envelope);
    reader.check_end();
    return envelope;
}

void check(const Envelope& envelope, TimePoint now) {
    if (envelope.version_name != state_version.name)
        throw ParseError("the state", "has another version", std::string(state_version.name));
    const Duration age = now - envelope.packed_at;
    if (age < Duration{} || age > max_age)
        throw ParseError("the state", "is " + std::to_string(to_seconds(age)) + " seconds old",
                         "0 to " + std::to_string(to_seconds(max_age)));
    if (envelope.checksum != checksum_of(envelope.state))
        throw ParseError("the state", "is corrupt", "bytes that match its checksum");
}

BalancerState state_of(const Components& components) {
    return {components.router.state(),   components.downstream.state(),
            components.upstream.state(), {components.timers.begin(), components.timers.end()},
            components.list_version,     components.list_source,
            components.list_staleness};
}

std::vector<int> descriptors_of(const Components& components) {
    std::vector<int> descriptors = components.downstream.descriptors();
    const std::vector<int> upstream = components.upstream.descriptors();
    descriptors.insert(descriptors.end(), upstream.begin(), upstream.end());
    return descriptors;
}

void restore(Components& components, BalancerState state, std::span<FileDescriptor> descriptors) {
    const size_t clients = state.downstream.clients.size();
    components.router.restore(std::move(state.router));
    components.downstream.restore(state.downstream, descriptors.first(clients));
    components.upstream.restore(std::move(state.upstream), descriptors.subspan(clients));
    components.timers = {state.timers.begin(), state.timers.end()};
    components.list_version = state.list_version;
    components.list_source = std::move(state.list_source);
    components.list_staleness = state.list_staleness;
}

}  // namespace

TransferState pack(Components components, TimePoint now) {
    Envelope envelope;
    envelope.version_name = state_version.name;
    envelope.packed_at = now;
    envelope.state = encode(state_of(components));
    envelope.checksum = checksum_of(envelope.state);
    return {encode(std::move(envelope)), descriptors_of(components)};
}

void unpack(Components components, std::string_view bytes, std::vector<Fd> descriptors, TimePoint now) {
    const Envelope envelope = decode_envelope(bytes);
    check(envelope, now);
    BalancerState state = decode(envelope.state);
    if (descriptors.size() != state.connection_count())
        throw ParseError("the transfer", "has " + std::to_string(descriptors.size()) + " descriptors",
                         std::to_string(state.connection_count()) + ", one for each connection");
    restore(components, std::move(state), descriptors);
}

}  // namespace headrouter::hot_restart
