/// Tests of a headrouter process whose system calls fail while it serves.
#include "proxy/faulty_process_fixture.h"

// Guards against a busy event loop while accept fails.
TEST(SystemFaults, ServesAClientAfterAcceptHasFailedForAWhile) {
    for (const int error :
         {ECONNABORTED, EPROTO, ENETUNREACH, EHOSTUNREACH, EINTR, ENFILE, EMFILE, ENOBUFS, ENOMEM}) {
        FaultyProcessFixture fixture;
        fixture.calls.fail(SystemCall::accept, error);
        const double cpu_before = cpu_seconds(fixture.running.pid);
        Peer client = fixture.connect_client();
        fixture.run_for(seconds(0.4));
        EXPECT_LT(cpu_seconds(fixture.running.pid) - cpu_before, 0.15) << std::strerror(error);
        EXPECT_GT(fixture.calls.injected(SystemCall::accept), 0U);
        fixture.calls.stop(SystemCall::accept);
        EXPECT_TRUE(fixture.is_served(client)) << std::strerror(error);
    }
}

// Guards against failing an attempt on EINTR although the kernel goes on with the connect.
TEST(SystemFaults, InterruptedConnectIsNotAFailure) {
    FaultyProcessFixture fixture;
    fixture.calls.fail(SystemCall::connect, EINTR);
    Peer client = fixture.connect_client();
    EXPECT_TRUE(fixture.is_served(client));
    EXPECT_GT(fixture.calls.injected(SystemCall::connect), 0U);
}

// Guards against penalizing a server for a shortage of the balancer's own machine.
TEST(SystemFaults, ServerIsNotPenalizedForLocalShortages) {
    const std::pair<SystemCall, int> faults[] = {
        {SystemCall::socket, ENFILE},         {SystemCall::socket, EMFILE},
        {SystemCall::socket, ENOBUFS},        {SystemCall::socket, ENOMEM},
        {SystemCall::connect, EADDRNOTAVAIL}, {SystemCall::connect, ENETUNREACH},
        {SystemCall::connect, ENETDOWN},      {SystemCall::connect, EAGAIN},
        {SystemCall::connect, ENOBUFS},       {SystemCall::connect, EPERM}};
    for (const auto& [call, error] : faults) {
        FaultyProcessFixture fixture;
        fixture.calls.fail(call, error);
        std::vector<Peer> clients;
        for (int count = 0; count < 8; ++count) clients.push_back(fixture.connect_client());
        for (Peer& client : clients) EXPECT_TRUE(fixture.is_answered(client)) << std::strerror(error);
        // At most two attempts for each request, and a few calls for discovery.
        EXPECT_LT(fixture.calls.injected(call), 60U) << std::strerror(error);
        fixture.calls.stop(call);
        Peer next = fixture.connect_client();
        EXPECT_TRUE(fixture.is_served(next)) << std::strerror(error);
    }
}

TEST(SystemFaults, ForwardsLinesThroughInterruptedAndShortTransfers) {
    FaultyProcessFixture fixture;
    auto request = fixture.establish();
    for (const int32_t error : {EINTR, EAGAIN, testbed::short_transfer}) {
        for (const SystemCall call : {SystemCall::receive, SystemCall::send, SystemCall::wait})
            if (call != SystemCall::wait || error == EINTR) fixture.calls.fail(call, error, 0.5);
        for (int count = 0; count < 10; ++count)
            fixture.exchange_lines(request, "line " + std::to_string(count) + "\r\n");
        for (const SystemCall call : {SystemCall::receive, SystemCall::send, SystemCall::wait})
            fixture.calls.stop(call);
    }
    for (const int32_t error : {ENOBUFS, ENOMEM}) {
        fixture.calls.fail(SystemCall::send, error, 0.5);
        for (int count = 0; count < 10; ++count)
            fixture.exchange_lines(request, "more " + std::to_string(count) + "\r\n");
        fixture.calls.stop(SystemCall::send);
    }
    EXPECT_GT(fixture.calls.injected(SystemCall::receive), 0U);
    EXPECT_GT(fixture.calls.injected(SystemCall::send), 0U);
}

// Guards against handling ECONNRESET only: other errors must not leave a client waiting.
TEST(SystemFaults, BrokenServerConnectionClosesItsClientWhateverTheError) {
    for (const int32_t error : {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET, EPIPE}) {
        FaultyProcessFixture fixture;
        auto request = fixture.establish();
        fixture.calls.fail(SystemCall::receive, error);
        request.server.write("a line\r\n");
        fixture.run_for(seconds(0.1));
        fixture.calls.stop(SystemCall::receive);
        EXPECT_TRUE(fixture.sees_close(request.client)) << std::strerror(error);
    }
}

// Guards against losing clients in the listener queue when accept fails at the end of a shutdown.
TEST(SystemFaults, AnswersClientsInTheListenerQueueAfterAcceptFailsDuringShutdown) {
    for (const int error : {ENFILE, ENOBUFS, ENOMEM, ECONNABORTED}) {
        FaultyProcessFixture fixture;
        fixture.calls.fail(SystemCall::accept, error);
        Peer client = fixture.connect_client();
        fixture.run_for(seconds(0.05));
        kill(fixture.running.pid, SIGTERM);
        fixture.run_for(seconds(0.7));
        fixture.calls.stop(SystemCall::accept);
        EXPECT_TRUE(fixture.is_answered(client)) << std::strerror(error);
        EXPECT_EQ(client.received, "BUSY\r\n") << std::strerror(error);
    }
}

// The library that injects failing calls ends the process if its table is missing or has the wrong size.
TEST(SystemFaults, FailingCallsLibraryRejectsAMissingOrShortTable) {
    ProcessFixture fixture;
    fixture.executable = build_path("headrouter");
    std::ofstream(fixture.folder + "/short") << "short";
    for (const char* name : {"/nowhere", "/short"}) {
        fixture.environment = {{"LD_PRELOAD", build_path("libheadrouter_failing_calls.so")},
                               {testbed::failing_calls_variable, fixture.folder + name}};
        int status = -1;
        EXPECT_TRUE(fixture.exits(fixture.launch().pid, status));
        EXPECT_TRUE(WIFEXITED(status));
        EXPECT_EQ(WEXITSTATUS(status), 2);
    }
}

TEST(SystemFaults, ProgramAndPreloadedLibrariesAreBuilt) {
    for (const char* name : {"libheadrouter_failing_calls.so", "libheadrouter_clock.so", "headrouter"})
        EXPECT_EQ(access(build_path(name).c_str(), R_OK), 0) << build_path(name) << " was not built";
}
