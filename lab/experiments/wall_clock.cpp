// Loaded into a balancer by the lab (LD_PRELOAD): its wall clock is set wrong by so many nanoseconds as the
// file named by HEADROUTER_CLOCK holds, which the lab may change under way. The steady clock stays true.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

const volatile int64_t* wrong_by() {
    static const volatile int64_t* const at = []() -> const volatile int64_t* {
        const char* path = std::getenv("HEADROUTER_CLOCK");
        const int fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
        if (fd < 0) return nullptr;
        void* p = mmap(nullptr, sizeof(int64_t), PROT_READ, MAP_SHARED, fd, 0);
        close(fd);
        return p == MAP_FAILED ? nullptr : static_cast<const volatile int64_t*>(p);
    }
    ();
    return at;
}

int64_t wall_ns() {
    static const auto true_clock =
        reinterpret_cast<int (*)(clockid_t, timespec*)>(dlsym(RTLD_NEXT, "clock_gettime"));
    timespec t{};
    true_clock(CLOCK_REALTIME, &t);
    const volatile int64_t* wrong = wrong_by();
    return t.tv_sec * 1'000'000'000LL + t.tv_nsec + (wrong ? *wrong : 0);
}

}  // namespace

// Each takes the place of the C library's by its linker name; of its own name, it is no second definition of
// a function that the system's headers declare.
extern "C" {

int shifted_clock_gettime(clockid_t which, timespec* t) noexcept __asm__("clock_gettime");
int shifted_gettimeofday(timeval* t, void*) noexcept __asm__("gettimeofday");
time_t shifted_time(time_t* t) noexcept __asm__("time");

int shifted_clock_gettime(clockid_t which, timespec* t) noexcept {
    static const auto true_clock =
        reinterpret_cast<int (*)(clockid_t, timespec*)>(dlsym(RTLD_NEXT, "clock_gettime"));
    if (which != CLOCK_REALTIME && which != CLOCK_REALTIME_COARSE) return true_clock(which, t);
    const int64_t ns = wall_ns();
    t->tv_sec = ns / 1'000'000'000;
    t->tv_nsec = ns % 1'000'000'000;
    return 0;
}

int shifted_gettimeofday(timeval* t, void*) noexcept {
    const int64_t ns = wall_ns();
    t->tv_sec = ns / 1'000'000'000;
    t->tv_usec = ns / 1000 % 1'000'000;
    return 0;
}

time_t shifted_time(time_t* t) noexcept {
    const time_t now = wall_ns() / 1'000'000'000;
    if (t) *t = now;
    return now;
}
}
