#include "testbed/failing_calls.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <new>
#include <system_error>

namespace headrouter::testbed {

namespace {
constexpr double million = 1e6;
constexpr mode_t own_user_only = 0600;
}  // namespace

FailingCalls::FailingCalls(std::string path, uint64_t seed) : path_(std::move(path)) {
    const int file = open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, own_user_only);
    const bool has_size = file >= 0 && ftruncate(file, sizeof(FailingCallTable)) == 0;
    void* const place =
        has_size ? mmap(nullptr, sizeof(FailingCallTable), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0)
                 : MAP_FAILED;
    const int error = errno;
    if (file >= 0) close(file);
    if (place == MAP_FAILED)
        throw std::system_error(error, std::generic_category(), "cannot create " + path_);
    table_ = new (place) FailingCallTable{};
    table_->seed = seed;
}

FailingCalls::~FailingCalls() {
    munmap(table_, sizeof(FailingCallTable));
    unlink(path_.c_str());
}

void FailingCalls::fail(SystemCall call, int32_t error, double part) {
    FailingCallTable::Rule& rule = table_->rules[static_cast<size_t>(call)];
    rule.error = error;
    rule.per_million = static_cast<uint32_t>(part * million);
}

void FailingCalls::stop(SystemCall call) { table_->rules[static_cast<size_t>(call)].per_million = 0; }

uint64_t FailingCalls::injected(SystemCall call) const {
    return table_->rules[static_cast<size_t>(call)].injected_count;
}

std::vector<std::pair<std::string, std::string>> FailingCalls::environment(const std::string& library) const {
    return {{"LD_PRELOAD", library}, {failing_calls_variable, path_}};
}

}  // namespace headrouter::testbed
