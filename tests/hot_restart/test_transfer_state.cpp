// Checks that an invalid transferred state is rejected before anything is restored, with an error that
// names the cause.
#include <gtest/gtest.h>

#include <string>

#include "base/parse_error.h"
#include "hot_restart/balancer_parts.h"
#include "hot_restart/balancer_state.h"
#include "hot_restart/state_version.h"
#include "hot_restart/transfer_state.h"

using namespace headrouter;

namespace {

constexpr size_t recorded_connections = 11;

std::string recorded_transfer() { return read_whole(std::string(STATE_FOLDER) + "/state-3.bin"); }

// Returns the error with which `bytes` are rejected, empty if they are accepted. Checks that nothing was
// restored from rejected bytes.
std::string error_of(const std::string& bytes, size_t descriptors, TimePoint now) {
    struct ev_loop* loop = ev_loop_new(0);
    std::string error;
    {
        BalancerParts parts(loop);
        try {
            hot_restart::unpack(parts.all(), bytes, sockets(descriptors), now);
        } catch (const ParseError& rejection) {
            error = rejection.what();
            EXPECT_EQ(parts.downstream.size(), 0U);
            EXPECT_EQ(parts.upstream.size(), 0U);
        }
    }
    ev_loop_destroy(loop);
    return error;
}

std::string error_of(const std::string& bytes) {
    return error_of(bytes, recorded_connections, packed_at(recorded_transfer()));
}

std::string decode_error(const hot_restart::BalancerState& state) {
    try {
        (void)hot_restart::decode(hot_restart::encode(state));
    } catch (const ParseError& rejection) {
        return rejection.what();
    }
    return "";
}

}  // namespace

TEST(TransferState, RestoresARecordedTransfer) { EXPECT_EQ(error_of(recorded_transfer()), ""); }

TEST(TransferState, RejectsTruncatedBytesAndNamesTheOffset) {
    const std::string whole = recorded_transfer();
    for (const size_t size : {size_t{0}, size_t{3}, size_t{70}, whole.size() / 2, whole.size() - 1}) {
        const std::string error = error_of(whole.substr(0, size));
        EXPECT_NE(error.find(" of the transfer "), std::string::npos) << size << ": " << error;
    }
    EXPECT_EQ(error_of(whole.substr(0, 3)),
              "offset 0 of the transfer is followed by 3 bytes; expected 4 at least");
}

TEST(TransferState, RejectsExtraBytesAfterTheEnd) {
    const std::string whole = recorded_transfer();
    EXPECT_EQ(error_of(whole + "x"), "offset " + std::to_string(whole.size()) +
                                         " of the transfer is followed by 1 bytes; expected the end");
}

TEST(TransferState, RejectsAnotherVersionAndNamesTheExpectedOne) {
    std::string other = recorded_transfer();
    const size_t first_of_name = sizeof(uint32_t);
    other[first_of_name] ^= 1;
    EXPECT_EQ(error_of(other),
              "the state has another version; expected " + std::string(hot_restart::state_version.name));
}

TEST(TransferState, RejectsAStateThatIsTooOldOrFromTheFutureAndNamesItsAge) {
    const std::string whole = recorded_transfer();
    const TimePoint packed = packed_at(whole);
    EXPECT_EQ(error_of(whole, recorded_connections, packed + seconds(5)), "");
    EXPECT_EQ(error_of(whole, recorded_connections, packed + seconds(6)),
              "the state is 6.000000 seconds old; expected 0 to 5.000000");
    EXPECT_EQ(error_of(whole, recorded_connections, packed - seconds(1)),
              "the state is -1.000000 seconds old; expected 0 to 5.000000");
}

TEST(TransferState, RejectsCorruptBytesByTheirChecksum) {
    std::string corrupt = recorded_transfer();
    corrupt[corrupt.size() - 20] ^= 1;
    EXPECT_EQ(error_of(corrupt), "the state is corrupt; expected bytes that match its checksum");
}

TEST(TransferState, RejectsAWrongNumberOfDescriptorsBeforeAnythingIsRestored) {
    const std::string whole = recorded_transfer();
    const TimePoint packed = packed_at(whole);
    EXPECT_EQ(error_of(whole, 10, packed),
              "the transfer has 10 descriptors; expected 11, one for each connection");
    EXPECT_EQ(error_of(whole, 12, packed),
              "the transfer has 12 descriptors; expected 11, one for each connection");
}

TEST(TransferState, RejectsAnIdleClientThatIsNotAmongTheClients) {
    hot_restart::BalancerState state;
    state.downstream.idle_clients = {7};
    EXPECT_EQ(decode_error(state), "idle client 7 is not among the clients");
}

TEST(TransferState, RejectsAnAttemptToAnUnknownAddress) {
    hot_restart::BalancerState state;
    state.upstream.attempts[7].attempt.address = "nowhere";
    EXPECT_EQ(decode_error(state), "the attempt of request 7 has an unknown address");
    state.upstream.addresses["nowhere"].attempts = 1;
    EXPECT_EQ(decode_error(state), "");
}

TEST(TransferState, RejectsAWaitFieldPastTheEndOfTheRequestLine) {
    hot_restart::BalancerState state;
    RequestLine& request_line = state.router.active_requests[7].request_line;
    request_line.line = "OPEN";
    request_line.wait_offset = 2;
    request_line.wait_length = 2;
    EXPECT_EQ(decode_error(state), "");
    request_line.wait_length = 3;
    EXPECT_EQ(decode_error(state),
              "the request line of request 7 has a wait field past its end; expected one within its 4 bytes");
    request_line.wait_offset = 5;
    request_line.wait_length = 0;
    EXPECT_NE(decode_error(state), "");
}
