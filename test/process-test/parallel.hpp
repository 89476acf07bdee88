#ifndef BORAGEHILL_PROCESS_TEST_PARALLEL_HPP
#define BORAGEHILL_PROCESS_TEST_PARALLEL_HPP

#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace boragehill::process_test {

/// Calls `each(0)` to `each(count - 1)` from many threads and waits for all.
template <class Each>
void in_parallel(int threads, int count, Each each) {
  std::atomic<int> next = 0;
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(threads));
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&next, count, &each] {
      for (int at = next++; at < count; at = next++) each(at);
    });
  }
  for (std::thread& worker : workers) worker.join();
}

}  // namespace boragehill::process_test

#endif  // BORAGEHILL_PROCESS_TEST_PARALLEL_HPP
