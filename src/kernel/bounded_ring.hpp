#ifndef BORAGEHILL_KERNEL_BOUNDED_RING_HPP
#define BORAGEHILL_KERNEL_BOUNDED_RING_HPP

#include <algorithm>
#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include <boragehill/time_point.hpp>

namespace boragehill::kernel {

/// A queue of fixed capacity between threads. A full ring refuses, so load
/// that can't be carried is seen where it enters. Thread safe.
///
///     bounded_ring<order> orders(64);
///     if (!orders.try_push(next)) return result_code::queue_full;
template <class Item>
class bounded_ring {
 public:
  /// \param capacity The most items held at once; at least one.
  explicit bounded_ring(std::size_t capacity)
      : items(std::max<std::size_t>(capacity, 1)) {}

  /// Adds an item without waiting.
  /// \return False if the ring is full or closed; the item is dropped then.
  bool try_push(Item item) {
    std::unique_lock lock(this->mutex);
    return this->push_locked(lock, std::move(item));
  }

  /// Adds an item, waiting for room until a deadline.
  /// \return False if the ring stayed full or is closed.
  bool push_until(Item item, time_point deadline) {
    std::unique_lock lock(this->mutex);
    this->has_room.wait_until(
        lock, deadline, [this] { return this->shut || !this->items.full(); });
    return this->push_locked(lock, std::move(item));
  }

  /// Takes the oldest item, waiting for one.
  /// \return Nothing once the ring is closed and empty.
  std::optional<Item> pop() {
    std::unique_lock lock(this->mutex);
    this->has_item.wait(lock,
                        [this] { return this->shut || !this->items.empty(); });
    return this->pop_locked(lock);
  }

  /// Takes the oldest item, waiting for one until a deadline.
  /// \return Nothing at the deadline, or once the ring is closed and empty.
  std::optional<Item> pop_until(time_point deadline) {
    std::unique_lock lock(this->mutex);
    this->has_item.wait_until(
        lock, deadline, [this] { return this->shut || !this->items.empty(); });
    return this->pop_locked(lock);
  }

  /// Refuses further items and wakes all waiters; held items can be taken.
  void close() {
    {
      const std::lock_guard lock(this->mutex);
      this->shut = true;
    }
    this->has_item.notify_all();
    this->has_room.notify_all();
  }

  /// \return True after `close()`.
  bool closed() const {
    const std::lock_guard lock(this->mutex);
    return this->shut;
  }

  /// \return The number of items held now.
  std::size_t depth() const {
    const std::lock_guard lock(this->mutex);
    return this->items.size();
  }

  /// \return The most items the ring holds.
  std::size_t capacity() const {
    const std::lock_guard lock(this->mutex);
    return this->items.capacity();
  }

 private:
  bool push_locked(std::unique_lock<std::mutex>& lock, Item&& item) {
    if (this->shut || this->items.full()) return false;
    this->items.push_back(std::move(item));
    lock.unlock();
    this->has_item.notify_one();
    return true;
  }

  std::optional<Item> pop_locked(std::unique_lock<std::mutex>& lock) {
    if (this->items.empty()) return std::nullopt;
    std::optional<Item> item(std::move(this->items.front()));
    this->items.pop_front();
    lock.unlock();
    this->has_room.notify_one();
    return item;
  }

  mutable std::mutex mutex;
  std::condition_variable has_item;
  std::condition_variable has_room;
  boost::circular_buffer<Item> items;
  bool shut = false;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_BOUNDED_RING_HPP
