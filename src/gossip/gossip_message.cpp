#include "gossip/gossip_message.h"

#include <algorithm>
#include <cmath>

namespace headrouter::gossip {

namespace {

constexpr char version = '1';

// The digits 0 to 63 of a number, in this order.
constexpr std::string_view alphabet = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
constexpr int bits_per_digit = 6;
constexpr uint32_t highest_digit = 63;

// Width of each field, in digits.
constexpr int round_digits = 3, reporter_count_digits = 2, total_load_digits = 4;
constexpr int server_digits = 2, group_digits = 3, load_digits = 1;
constexpr int timestamp_digits = 2, list_checksum_digits = 1;

constexpr size_t kind_header = 2;  // version and kind
constexpr size_t load_row = server_digits + load_digits;
constexpr size_t location_row = group_digits + server_digits;
constexpr size_t headroom_rows_per_digit = 3;
constexpr size_t round_header = kind_header + round_digits + reporter_count_digits + total_load_digits;
constexpr size_t report_header = kind_header + timestamp_digits;
constexpr size_t headroom_header = kind_header + timestamp_digits + list_checksum_digits;
static_assert(round_header + max_load_rows * load_row <= max_message_bytes);
static_assert(report_header + max_load_rows * load_row <= max_message_bytes);
static_assert(kind_header + max_location_rows * location_row <= max_message_bytes);
static_assert(headroom_header + max_headroom_rows / headroom_rows_per_digit <= max_message_bytes);

// Two bits hold one server's headroom.
constexpr int bits_per_headroom = 2;
static_assert(max_headroom < 1 << bits_per_headroom);

// A load is encoded as its logarithm in one digit: digit 0 is a quarter of a connection, each step adds 15 %.
constexpr double least_load = 0.25, load_step = 1.15;
// In a load report the highest digit marks a degraded server.
constexpr uint32_t degraded_digit = highest_digit;

constexpr double total_load_step = 0.25;
constexpr double highest_total_load = 16777215.0;  // fits four digits
constexpr size_t highest_reporter_count = 4095;    // fits two digits

void append_number(std::string& bytes, uint64_t value, int digits) {
    for (int k = digits; k-- > 0;) bytes += alphabet[value >> (bits_per_digit * k) & highest_digit];
}

std::string message_of(MessageKind kind) { return {version, static_cast<char>(kind)}; }

uint64_t load_digit(double load, uint32_t highest) {
    const double steps = std::log(std::max(load, least_load) / least_load) / std::log(load_step);
    return static_cast<uint64_t>(std::clamp(std::round(steps), 0.0, static_cast<double>(highest)));
}

double load_of_digit(uint32_t digit) { return least_load * std::pow(load_step, digit); }

// Puts the largest loads first: rows that do not fit are cut off at the end, and small loads matter least.
void sort_by_load(std::vector<ServerLoad>& loads) {
    std::stable_sort(loads.begin(), loads.end(),
                     [](const ServerLoad& a, const ServerLoad& b) { return a.load > b.load; });
}

/// Reads the numbers of a message from front to back.
class DigitReader {
   public:
    explicit DigitReader(std::string_view bytes) : bytes_(bytes) {}

    [[nodiscard]] bool at_end() const { return bytes_.empty(); }
    [[nodiscard]] size_t remaining() const { return bytes_.size(); }

    /// Returns false, with `value` undefined, if the message ends first or has a character outside the
    /// alphabet.
    [[nodiscard]] bool read(int digits, uint32_t& value) {
        if (bytes_.size() < static_cast<size_t>(digits)) return false;
        value = 0;
        for (int k = 0; k < digits; ++k) {
            const size_t digit = alphabet.find(bytes_[static_cast<size_t>(k)]);
            if (digit == std::string_view::npos) return false;
            value = value << bits_per_digit | static_cast<uint32_t>(digit);
        }
        bytes_.remove_prefix(static_cast<size_t>(digits));
        return true;
    }

   private:
    std::string_view bytes_;
};

enum class LoadDigits { plain, with_degraded_marker };

bool parse_loads(DigitReader& in, LoadDigits digits, std::vector<ServerLoad>& loads) {
    if (in.remaining() % load_row != 0) return false;
    while (!in.at_end()) {
        uint32_t server = 0;
        uint32_t digit = 0;
        if (!in.read(server_digits, server) || !in.read(load_digits, digit)) return false;
        const bool degraded = digits == LoadDigits::with_degraded_marker && digit == degraded_digit;
        loads.push_back({server, degraded ? degraded_marker : load_of_digit(digit)});
    }
    return true;
}

bool parse_round_loads(DigitReader& in, Message& message) {
    uint32_t reporter_count = 0;
    uint32_t total_steps = 0;
    if (!in.read(round_digits, message.round)) return false;
    if (!in.read(reporter_count_digits, reporter_count) || reporter_count == 0) return false;
    if (!in.read(total_load_digits, total_steps)) return false;
    message.reporter_count = reporter_count;
    message.total_load = total_steps * total_load_step;
    return parse_loads(in, LoadDigits::plain, message.loads);
}

bool parse_group_locations(DigitReader& in, Message& message) {
    if (in.at_end() || in.remaining() % location_row != 0) return false;
    while (!in.at_end()) {
        GroupLocationRow row{};
        if (!in.read(group_digits, row.group) || !in.read(server_digits, row.server)) return false;
        message.locations.push_back(row);
    }
    return true;
}

bool parse_load_report(DigitReader& in, Message& message) {
    if (!in.read(timestamp_digits, message.timestamp)) return false;
    return parse_loads(in, LoadDigits::with_degraded_marker, message.loads);
}

bool parse_headroom(DigitReader& in, Message& message) {
    if (!in.read(timestamp_digits, message.timestamp)) return false;
    if (!in.read(list_checksum_digits, message.list_checksum)) return false;
    while (!in.at_end()) {
        uint32_t digit = 0;
        if (!in.read(1, digit)) return false;
        for (int row = headroom_rows_per_digit; row-- > 0;)
            message.headroom.push_back(static_cast<int>(digit >> (bits_per_headroom * row) & max_headroom));
    }
    return true;
}

bool parse_body(DigitReader& in, Message& message) {
    switch (message.kind) {
        case MessageKind::round_counts:
        case MessageKind::round_sum: return parse_round_loads(in, message);
        case MessageKind::group_locations: return parse_group_locations(in, message);
        case MessageKind::load_report: return parse_load_report(in, message);
        case MessageKind::headroom: return parse_headroom(in, message);
    }
    return false;  // kind unknown to this version
}

}  // namespace

std::string encode_round_loads(MessageKind kind, uint32_t round, size_t reporter_count, double total_load,
                               std::vector<ServerLoad> loads) {
    sort_by_load(loads);
    std::string bytes = message_of(kind);
    append_number(bytes, round % round_modulus, round_digits);
    append_number(bytes, std::min(reporter_count, highest_reporter_count), reporter_count_digits);
    const double total_steps = std::clamp(total_load / total_load_step, 0.0, highest_total_load);
    append_number(bytes, static_cast<uint64_t>(total_steps), total_load_digits);
    for (size_t k = 0; k < std::min(loads.size(), max_load_rows); ++k) {
        append_number(bytes, loads[k].server % short_server_id_modulus, server_digits);
        append_number(bytes, load_digit(loads[k].load, highest_digit), load_digits);
    }
    return bytes;
}

std::string encode_group_locations(const std::vector<GroupLocationRow>& rows) {
    std::string bytes = message_of(MessageKind::group_locations);
    for (size_t k = 0; k < std::min(rows.size(), max_location_rows); ++k) {
        append_number(bytes, rows[k].group % group_modulus, group_digits);
        append_number(bytes, rows[k].server % short_server_id_modulus, server_digits);
    }
    return bytes;
}

std::string encode_load_report(uint32_t timestamp, std::vector<ServerLoad> loads) {
    sort_by_load(loads);
    std::string bytes = message_of(MessageKind::load_report);
    append_number(bytes, timestamp % timestamp_modulus, timestamp_digits);
    for (size_t k = 0; k < std::min(loads.size(), max_load_rows); ++k) {
        const bool degraded = loads[k].load < 0;
        append_number(bytes, loads[k].server % short_server_id_modulus, server_digits);
        append_number(bytes, degraded ? degraded_digit : load_digit(loads[k].load, degraded_digit - 1),
                      load_digits);
    }
    return bytes;
}

std::string encode_headroom(uint32_t timestamp, uint32_t list_checksum, const std::vector<int>& headroom) {
    std::string bytes = message_of(MessageKind::headroom);
    append_number(bytes, timestamp % timestamp_modulus, timestamp_digits);
    append_number(bytes, list_checksum % list_checksum_modulus, list_checksum_digits);
    for (size_t k = 0; k < std::min(headroom.size(), max_headroom_rows); k += headroom_rows_per_digit) {
        uint64_t digit = 0;
        for (size_t row = k; row < k + headroom_rows_per_digit; ++row) {
            const int value = row < headroom.size() ? std::clamp(headroom[row], 0, max_headroom) : 0;
            digit = digit << bits_per_headroom | static_cast<uint64_t>(value);
        }
        append_number(bytes, digit, 1);
    }
    return bytes;
}

std::optional<Message> parse_message(std::string_view bytes) {
    if (bytes.size() < kind_header || bytes.size() > max_message_bytes) return std::nullopt;
    if (bytes[0] != version) return std::nullopt;
    Message message;
    message.kind = static_cast<MessageKind>(bytes[1]);
    DigitReader in(bytes.substr(kind_header));
    if (!parse_body(in, message)) return std::nullopt;
    return message;
}

}  // namespace headrouter::gossip
