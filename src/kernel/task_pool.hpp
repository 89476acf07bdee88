#ifndef BORAGEHILL_KERNEL_TASK_POOL_HPP
#define BORAGEHILL_KERNEL_TASK_POOL_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boragehill/time_point.hpp>

#include "kernel/bounded_ring.hpp"

namespace boragehill::kernel {

/// A few threads that run blocking tasks from one bounded ring.
///
///     task_pool calls("calls", 4, 256);
///     if (!calls.try_post([] { call_peer(); })) refuse();
class task_pool {
 public:
  using task = std::function<void()>;

  /// \param name The threads' name.
  /// \param threads Tasks that run at once.
  /// \param waiting Tasks that may wait.
  task_pool(const std::string& name, std::size_t threads, std::size_t waiting);

  /// Runs what was taken in, then ends the threads.
  ~task_pool();

  task_pool(const task_pool&) = delete;
  task_pool& operator=(const task_pool&) = delete;

  /// Hands a task over without waiting.
  /// \return False if the ring is full or the pool stopped.
  bool try_post(task work) { return this->ring.try_push(std::move(work)); }

  /// Hands a task over, waiting for room until a deadline.
  /// \return False if the ring stayed full or the pool stopped.
  bool post_until(task work, time_point deadline) {
    return this->ring.push_until(std::move(work), deadline);
  }

  /// Refuses further tasks, runs those taken in, joins. Idempotent.
  void stop();

  /// \return The number of tasks waiting.
  std::size_t depth() const { return this->ring.depth(); }

 private:
  bounded_ring<task> ring;
  std::vector<std::thread> threads;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_TASK_POOL_HPP
