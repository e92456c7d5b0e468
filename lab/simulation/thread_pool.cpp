#include "simulation/thread_pool.h"

namespace headrouter::simulation {

namespace {
constexpr int spins = 2000;
}

ThreadPool::ThreadPool(int threads) {
    for (int k = 1; k < threads; ++k) others_.emplace_back([this] { labour(); });
}

ThreadPool::~ThreadPool() {
    over_ = true;
    ++round_;
    for (std::thread& t : others_) t.join();
}

void ThreadPool::take_pieces() {
    for (size_t k = 0; (k = next_.fetch_add(1)) < n_;) (*work_)(k);
}

void ThreadPool::labour() {
    uint64_t seen = 0;
    while (true) {
        for (int tries = 0; round_.load(std::memory_order_acquire) == seen; ++tries)
            if (tries > spins) std::this_thread::yield();
        seen = round_.load(std::memory_order_acquire);
        if (over_) return;
        take_pieces();
        busy_.fetch_sub(1, std::memory_order_acq_rel);
    }
}

void ThreadPool::run(size_t n, const std::function<void(size_t)>& work) {
    if (others_.empty() || n < 2) {
        for (size_t k = 0; k < n; ++k) work(k);
        return;
    }
    n_ = n;
    work_ = &work;
    next_ = 0;
    busy_ = others_.size();
    round_.fetch_add(1, std::memory_order_acq_rel);
    take_pieces();
    for (int tries = 0; busy_.load(std::memory_order_acquire) > 0; ++tries)
        if (tries > spins) std::this_thread::yield();
}

}  // namespace headrouter::simulation
