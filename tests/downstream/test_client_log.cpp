// Checks the log lines and counters for clients that are dismissed before their request is read.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <sstream>

#include "downstream/client_log.h"

namespace headrouter {
namespace {

class IgnoringOwner : public LineConnection::Owner {
   public:
    void on_bytes(LineConnection&, std::string_view, bool) override {}
    void on_closed(LineConnection&, CloseReason) override {}
};

class ClientLogTest : public testing::Test {
   protected:
    void TearDown() override {
        client_.connection.reset();
        ev_loop_destroy(loop_);
    }

    // Connects a client from which `bytes` have arrived.
    void connect(std::string_view bytes, TimePoint now) {
        int ends[2];
        ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
        peer_ = FileDescriptor(ends[1]);
        client_.connection = std::make_unique<LineConnection>(loop_, FileDescriptor(ends[0]), owner_, 7);
        client_.connected_at = client_.idle_since = client_.line_started_at = now;
        ::send(peer_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        client_.connection->poll_now();
    }

    size_t count_log_lines(const std::string& event) const {
        size_t count = 0;
        for (size_t at = text_.str().find(event); at != std::string::npos;
             at = text_.str().find(event, at + 1))
            ++count;
        return count;
    }

    struct ev_loop* loop_ = ev_loop_new(0);
    IgnoringOwner owner_;
    FileDescriptor peer_;
    Client client_;
    std::ostringstream text_;
    Log log_{text_, LogLevel::info};
    Counters counters_;
    ClientLog client_log_{log_, counters_};
    const TimePoint start_ = TimePoint{} + seconds(100);
};

TEST_F(ClientLogTest, DismissalIsLoggedWithReasonAgeAndReceivedBytes) {
    connect("OPEN 12", start_);
    client_log_.on_dismissed(client_, DismissalReason::unfinished_line, "ERR\r\n", start_ + millis(2600));
    const std::string expected =
        "client_dismissed request=7 reason=unfinished_line reply=ERR age_ms=2600 line_age_ms=2600 "
        "line_bytes=7";
    EXPECT_NE(text_.str().find(expected), std::string::npos) << text_.str();
    EXPECT_EQ(counters_[Counter::request_lines_unfinished], 1U);
    EXPECT_EQ(counters_[Counter::request_lines_overdue], 0U);
}

TEST_F(ClientLogTest, UnfinishedLineAnsweredAfterThreeSecondsIsOverdue) {
    connect("OPEN 12", start_);
    client_log_.on_dismissed(client_, DismissalReason::evicted, "BUSY\r\n", start_ + millis(3001));
    EXPECT_EQ(counters_[Counter::request_lines_overdue], 1U);
}

TEST_F(ClientLogTest, ClientWithoutPartialLineIsNotOverdueAfterSixSeconds) {
    connect("", start_);
    client_log_.on_dismissed(client_, DismissalReason::silent, "BUSY\r\n", start_ + seconds(6));
    EXPECT_EQ(counters_[Counter::request_lines_overdue], 0U);
}

TEST_F(ClientLogTest, DismissalsBeyondFivePerSecondAreCountedInsteadOfLogged) {
    connect("", start_);
    for (int count = 0; count < 100; ++count)
        client_log_.on_dismissed(client_, DismissalReason::silent, "ERR\r\n", start_ + millis(count));
    EXPECT_EQ(count_log_lines("client_dismissed"), 5U);
    client_log_.on_dismissed(client_, DismissalReason::silent, "ERR\r\n", start_ + seconds(1));
    EXPECT_NE(text_.str().find("unlogged_before=95"), std::string::npos) << text_.str();
}

}  // namespace
}  // namespace headrouter
