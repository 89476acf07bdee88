#ifndef BORAGEHILL_KERNEL_EVENT_LOOP_HPP
#define BORAGEHILL_KERNEL_EVENT_LOOP_HPP

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "kernel/bounded_ring.hpp"

namespace boragehill::kernel {

/// A duty that waits on sockets and timers: one named thread with an Asio
/// context, reached by other threads through a bounded ring of tasks.
///
///     loop.start();
///     if (!loop.post([&] { handle(news); })) count_lost();
class event_loop {
 public:
  /// \param name The thread's name; 15 characters show in `ps`.
  /// \param capacity The most tasks waiting at once.
  event_loop(std::string name, std::size_t capacity);
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  ~event_loop();

  /// \return The context; only the loop's own thread makes use of its objects.
  asio::io_context& context() { return this->io; }

  /// Hands a task over from any thread, without waiting.
  /// \return False if the ring is full or the loop stopped.
  bool post(std::function<void()> task);

  /// Starts the thread.
  void start();

  /// Ends the thread and joins it; tasks that wait are dropped.
  void stop();

 private:
  void run();
  void run_next();

  std::string name;
  asio::io_context io{1};
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
      work;
  bounded_ring<std::function<void()>> tasks;
  std::thread thread;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_EVENT_LOOP_HPP
