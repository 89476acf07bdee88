#ifndef BORAGEHILL_KERNEL_DUTY_HPP
#define BORAGEHILL_KERNEL_DUTY_HPP

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include <boragehill/time_point.hpp>

#include "kernel/bounded_ring.hpp"
#include "kernel/duty_support.hpp"

namespace boragehill::kernel {

/// One named thread that owns its state and is reached by messages through a
/// bounded ring. `handle` and `on_tick` run on that thread only; an exception
/// from either is logged as `duty_failed` and the thread goes on.
///
///     duty<order> orders("orders", 64, milliseconds(100), handle, on_tick);
///     orders.start();
///     if (!orders.post(next)) return result_code::queue_full;
template <class Message>
class duty {
 public:
  /// \param name The thread's name; 15 characters show in `ps`.
  /// \param capacity The most messages waiting at once.
  /// \param tick How often `on_tick` runs, also under load; at least 1 ms.
  /// \param handle Called for each message, in order.
  /// \param on_tick Called about every `tick`; may be empty.
  duty(std::string name, std::size_t capacity, milliseconds tick,
       std::function<void(Message&)> handle, std::function<void()> on_tick)
      : label(std::move(name)),
        interval(std::max(tick, milliseconds(1))),
        handle(std::move(handle)),
        on_tick(std::move(on_tick)),
        ring(capacity) {}

  duty(const duty&) = delete;
  duty& operator=(const duty&) = delete;

  /// Stops the duty; must not run on the duty's own thread.
  ~duty() { this->stop(); }

  /// Hands a message over without waiting. Messages posted before `start()`
  /// wait for it.
  /// \return False if the ring is full or the duty stopped.
  bool post(Message message) { return this->ring.try_push(std::move(message)); }

  /// Starts the thread; does nothing if it was started or stopped before.
  void start() {
    const std::lock_guard lock(this->mutex);
    if (this->thread.joinable() || this->ring.closed()) return;
    this->mark_tick();
    this->active = true;
    this->thread = std::thread([this] { this->run(); });
  }

  /// Refuses further messages, handles those taken in, and joins the thread.
  /// Idempotent. On the duty's own thread it only refuses; the thread then
  /// ends by itself once the ring is empty.
  void stop() {
    this->ring.close();
    if (this->owner.load() == std::this_thread::get_id()) return;
    const std::lock_guard lock(this->mutex);
    if (this->thread.joinable()) this->thread.join();
    // A duty that was never started still owes the messages it took in.
    this->drain();
  }

  /// \return The name given at construction.
  const std::string& name() const { return this->label; }

  /// \return The number of messages waiting.
  std::size_t depth() const { return this->ring.depth(); }

  /// \return The most messages that may wait.
  std::size_t capacity() const { return this->ring.capacity(); }

  /// \return True from `start()` until the thread has drained its ring.
  bool running() const { return this->active; }

  /// Returns how long ago the last tick ended; a watchdog compares it with
  /// the interval. A handler that hangs makes it grow.
  /// \return Milliseconds since the last tick or start; 0 if not running.
  milliseconds tick_age() const {
    if (!this->active) return milliseconds(0);
    const time_point last{time_point::duration(this->last_tick.load())};
    return std::chrono::duration_cast<milliseconds>(time_point::clock::now() -
                                                    last);
  }

 private:
  void run() {
    this->owner = std::this_thread::get_id();
    detail::name_this_thread(this->label);
    time_point next = time_point::clock::now() + this->interval;
    while (!this->finished()) {
      if (time_point::clock::now() >= next) {
        this->run_tick();
        next = time_point::clock::now() + this->interval;
      }
      this->handle_one(next);
    }
    this->active = false;
  }

  bool finished() const {
    return this->ring.closed() && this->ring.depth() == 0;
  }

  void run_tick() {
    if (this->on_tick) detail::run_guarded(this->label, this->on_tick);
    this->mark_tick();
  }

  void handle_one(time_point until) {
    auto message = this->ring.pop_until(until);
    if (!message) return;
    detail::run_guarded(this->label, [&] { this->handle(*message); });
  }

  void drain() {
    while (auto message = this->ring.pop()) {
      detail::run_guarded(this->label, [&] { this->handle(*message); });
    }
  }

  void mark_tick() {
    this->last_tick = time_point::clock::now().time_since_epoch().count();
  }

  std::string label;
  milliseconds interval;
  std::function<void(Message&)> handle;
  std::function<void()> on_tick;
  bounded_ring<Message> ring;
  std::mutex mutex;
  std::thread thread;
  std::atomic<std::thread::id> owner{};
  std::atomic<bool> active{false};
  std::atomic<time_point::rep> last_tick{0};
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_DUTY_HPP
