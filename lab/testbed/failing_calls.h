/// Makes calls of the system fail in a process of the program: the test bed writes what is to fail into a
/// file that both map, and a library that is loaded into the process (failing_calls_library.cpp, by
/// LD_PRELOAD) obeys it.
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

/// What the file holds; both sides are on one machine and of one build.
struct FailingCallTable {
    struct Rule {
        std::atomic<int32_t> error;            ///< an errno, or `short_transfer`
        std::atomic<uint32_t> per_million;     ///< how many calls of a million fail; 0 is none
        std::atomic<uint64_t> injected_count;  ///< how many have failed
    };
    std::atomic<uint64_t> seed;
    std::array<Rule, system_call_count> rules;
};

/// The test bed's side. The file is removed with this object; processes that have mapped it go on.
class FailingCalls {
   public:
    /// Throws std::system_error where the file cannot be made.
    FailingCalls(std::string path, uint64_t seed);
    ~FailingCalls();
    FailingCalls(const FailingCalls&) = delete;
    FailingCalls& operator=(const FailingCalls&) = delete;

    /// From now on `part` (0 to 1) of the calls fail with `error`, chosen at random by the seed.
    void fail(SystemCall, int32_t error, double part = 1);
    void stop(SystemCall);

    [[nodiscard]] uint64_t injected(SystemCall) const;

    /// What a process needs in its environment, `library` being the path of the library.
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> environment(
        const std::string& library) const;

   private:
    std::string path_;
    FailingCallTable* table_ = nullptr;
};

}  // namespace headrouter::testbed
