#ifndef BORAGEHILL_KERNEL_BOUNDED_TASK_QUEUE_HPP
#define BORAGEHILL_KERNEL_BOUNDED_TASK_QUEUE_HPP

#include <cstddef>
#include <functional>
#include <httplib.h>
#include <string>

#include "kernel/task_pool.hpp"

namespace boragehill::kernel {

/// The connections of one cpp-httplib server: a fixed number of threads behind
/// a bounded ring.
///
/// The library's own pool queues without bound, so a storm would leave callers
/// without a word. Here a connection that finds the ring full is served by one
/// spare thread, where `overloaded()` is true: handlers see it and refuse at
/// once. When that thread's ring is full too, accepting waits.
///
///     server.new_task_queue = [] {
///       return new bounded_task_queue("callers", 256, 512);
///     };
class bounded_task_queue final : public httplib::TaskQueue {
 public:
  /// \param name The threads' name.
  /// \param threads Connections served at once.
  /// \param waiting Connections that may wait for a thread.
  bounded_task_queue(const std::string& name, std::size_t threads,
                     std::size_t waiting);
  ~bounded_task_queue() override;

  void enqueue(std::function<void()> serve) override;
  void shutdown() override;

  /// \return True on the spare thread: the request must be refused.
  static bool overloaded();

 private:
  task_pool pool;
  task_pool spare;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_BOUNDED_TASK_QUEUE_HPP
