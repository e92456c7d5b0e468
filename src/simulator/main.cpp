/// headrouter_adapter: runs the balancing policies of a simulation; reads events from standard input and
/// writes actions to standard output, one JSON message a line. Exits with 0 at the end of the input, or with
/// 1 and a message on standard error at the first error.
#include <cstdint>
#include <iostream>
#include <string>

#include "simulator/simulator_session.h"

namespace {

int fail(uint64_t line_number, const std::string& reason) {
    std::cerr << "headrouter_adapter: line " << line_number << ": " << reason << "\n";
    return 1;
}

/// Writes and flushes the reply: the simulator waits for the reply before it sends the next batch. Returns
/// false if the write fails.
bool write_reply(const std::string& reply) {
    std::cout.write(reply.data(), static_cast<std::streamsize>(reply.size()));
    std::cout.flush();
    return std::cout.good();
}

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    headrouter::SimulatorSession session;
    std::string line;
    uint64_t line_number = 0;
    while (std::getline(std::cin, line)) {
        ++line_number;
        if (line.empty() && !session.in_batch()) continue;
        bool batch_ended = false;
        try {
            batch_ended = session.handle_line(line);
        } catch (const headrouter::ParseError& error) {
            return fail(line_number, error.what());
        }
        if (batch_ended && !write_reply(session.reply()))
            return fail(line_number, "cannot write the reply to standard output");
    }
    if (session.in_batch()) return fail(line_number, "input ends within a batch, before its EofBatch");
    return 0;
}
