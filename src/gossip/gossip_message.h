/// Encodes and parses the messages that balancers send one another. Makes no decisions.
///
/// A message has only letters, digits, '-' and '_', so that the same bytes serve as a datagram and as a JSON
/// string: a version, a kind, then numbers, each with a fixed count of six-bit digits. docs/gossip.md
/// specifies the format.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace headrouter::gossip {

/// Maximum size of a message: it fits one small datagram.
constexpr size_t max_message_bytes = 256;
/// Maximum number of rows in a message, by kind of row.
constexpr size_t max_load_rows = 80, max_location_rows = 48, max_headroom_rows = 741;

/// Identifies a server in a message: the low bits of a hash of the server's id (see ShortServerIds).
using ShortServerId = uint32_t;

/// Moduli of the message fields, set by the field widths.
constexpr uint32_t short_server_id_modulus = 1 << 12;
constexpr uint32_t group_modulus = 1 << 18;
constexpr uint32_t round_modulus = 1 << 18;
constexpr uint32_t timestamp_modulus = 1 << 12;
constexpr uint32_t list_checksum_modulus = 1 << 6;

/// Load value that marks a server which the reporter found slow or failing.
constexpr double degraded_marker = -1;

/// Largest headroom of a server, in multiples of the share that its weight gives.
constexpr int max_headroom = 3;

/// The kind of a message; the value is its letter in the message.
enum class MessageKind : char {
    round_counts = 'c',     ///< one balancer's loads of a round, sent to the balancer that sums the round
    round_sum = 's',        ///< the round's loads summed over balancers, sent to all
    group_locations = 'h',  ///< which servers hold members of which groups
    load_report = 'n',      ///< one balancer's current loads, sent to its aggregator
    headroom = 'r',         ///< the aggregator's answer: each server's headroom
};

/// A server's load in mean load units. A message holds the load's logarithm in one digit, which rounds the
/// load by up to a tenth.
struct ServerLoad {
    ShortServerId server;
    double load;
};

/// Locates a member of an affinity group; `group` is a hash of the group's name.
struct GroupLocationRow {
    uint32_t group;
    ShortServerId server;
};

/// Holds a parsed message. The kind determines which fields are set.
struct Message {
    MessageKind kind = MessageKind::round_counts;

    // round_counts and round_sum
    uint32_t round = 0;         ///< modulo `round_modulus`
    size_t reporter_count = 0;  ///< number of balancers whose loads are summed; at least 1
    double total_load = 0;      ///< over all servers, including those without a row

    // round_counts, round_sum and load_report
    std::vector<ServerLoad> loads;

    // group_locations
    std::vector<GroupLocationRow> locations;

    // load_report and headroom
    uint32_t timestamp = 0;  ///< the sender's wall clock in ticks, modulo `timestamp_modulus`

    // headroom
    uint32_t list_checksum = 0;  ///< identifies the server list that the rows belong to
    std::vector<int> headroom;   ///< in list order; may have up to two more rows than were encoded
};

/// Encodes one balancer's loads (`round_counts`) or the sum over `reporter_count` of them (`round_sum`).
/// Omits the rows with the smallest loads if not all fit; `total_load` still includes them.
[[nodiscard]] std::string encode_round_loads(MessageKind kind, uint32_t round, size_t reporter_count,
                                             double total_load, std::vector<ServerLoad> loads);

/// Encodes the first `max_location_rows` rows and omits the others.
[[nodiscard]] std::string encode_group_locations(const std::vector<GroupLocationRow>& rows);

/// Encodes a balancer's current loads; a server found slow or failing has the load `degraded_marker`. The
/// timestamp comes from the wall clock so that it keeps increasing across restarts.
[[nodiscard]] std::string encode_load_report(uint32_t timestamp, std::vector<ServerLoad> loads);

/// Encodes the headroom of each server of a list, ordered by short id: how much of the next connections it
/// should get, from 0 to `max_headroom`, in multiples of the share that its weight gives it.
[[nodiscard]] std::string encode_headroom(uint32_t timestamp, uint32_t list_checksum,
                                          const std::vector<int>& headroom);

/// Parses a message. Returns nullopt for one that this version cannot have encoded: another version or kind,
/// truncated within the header or a row, too long, or with a character outside the alphabet.
[[nodiscard]] std::optional<Message> parse_message(std::string_view bytes);

}  // namespace headrouter::gossip
