/// Injects failures of system calls into a process of the program: the test bed writes the rules into a file
/// that both map, and a library that LD_PRELOAD loads into the process (failing_calls_library.cpp) applies
/// them.
#pragma once
#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace headrouter::testbed {

enum class SystemCall { accept, socket, connect, receive, send, wait, open, write, sync, rename };
constexpr size_t system_call_count = static_cast<size_t>(SystemCall::rename) + 1;

/// In place of an errno: the call is made, and transfers one byte.
constexpr int32_t short_transfer = -1;

/// The environment variable that names the file.
constexpr const char* failing_calls_variable = "HEADROUTER_FAILING_CALLS";

/// Holds the contents of the file; both sides are on one machine and from one build.
struct FailingCallTable {
    struct Rule {
        std::atomic<int32_t> error;            ///< an errno, or `short_transfer`
        std::atomic<uint32_t> per_million;     ///< failing calls per million; 0: none
        std::atomic<uint64_t> injected_count;  ///< calls failed so far
    };
    std::atomic<uint64_t> seed;
    std::array<Rule, system_call_count> rules;
};

/// Controls the failures from the test bed. The destructor removes the file; processes that have mapped it
/// keep their mapping.
class FailingCalls {
   public:
    /// Throws std::system_error if the file cannot be created.
    FailingCalls(std::string path, uint64_t seed);
    ~FailingCalls();
    FailingCalls(const FailingCalls&) = delete;
    FailingCalls& operator=(const FailingCalls&) = delete;

    /// Makes `part` (0 to 1) of the calls fail with `error` from now on, chosen at random by the seed.
    void fail(SystemCall, int32_t error, double part = 1);
    void stop(SystemCall);

    [[nodiscard]] uint64_t injected(SystemCall) const;

    /// Returns the environment variables that a process needs; `library` is the path of the library.
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> environment(
        const std::string& library) const;

   private:
    std::string path_;
    FailingCallTable* table_ = nullptr;
};

}  // namespace headrouter::testbed
