// Worker threads for many short pieces of work: they wait by spinning for a while, as the next window is
// microseconds away, and give up the core when it is not.
#pragma once
#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace headrouter::simulation {

class ThreadPool {
   public:
    explicit ThreadPool(int threads);  // the caller's own counted in
    ~ThreadPool();
    ThreadPool(const ThreadPool&) = delete;
    ThreadPool& operator=(const ThreadPool&) = delete;
    // Runs work(0) to work(n - 1), each once, in any order; returns when all are done.
    void run(size_t n, const std::function<void(size_t)>& work);

   private:
    void labour();
    void take_pieces();
    std::vector<std::thread> others_;
    std::atomic<uint64_t> round_{0};
    std::atomic<size_t> next_{0}, busy_{0};
    std::atomic<bool> over_{false};
    size_t n_ = 0;
    const std::function<void(size_t)>* work_ = nullptr;
};

}  // namespace headrouter::simulation
