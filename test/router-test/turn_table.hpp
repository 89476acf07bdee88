#ifndef BORAGEHILL_ROUTER_TEST_TURN_TABLE_HPP
#define BORAGEHILL_ROUTER_TEST_TURN_TABLE_HPP

#include <array>
#include <condition_variable>
#include <mutex>
#include <vector>

#include "fake_table.hpp"

namespace boragehill::router {

/// Decides in which order two writers' calls reach one table. Once the turns
/// are used up or one writer is done, calls go as they come.
class turns {
 public:
  explicit turns(std::vector<bool> order) : order(std::move(order)) {}

  template <class Call>
  auto take(bool who, Call call) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [&] {
      return this->next >= this->order.size() || this->done[who ? 0 : 1] ||
             this->order[this->next] == who;
    });
    if (this->next < this->order.size()) ++this->next;
    this->changed.notify_all();
    return call();
  }

  void finish(bool who) {
    const std::lock_guard lock(this->mutex);
    this->done[who ? 1 : 0] = true;
    this->changed.notify_all();
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<bool> order;
  std::size_t next = 0;
  std::array<bool, 2> done{};
};

/// One writer's way to a table that it shares with another, call by call.
class turn_table final : public table_service {
 public:
  turn_table(fake_table& shared, turns& order, bool who)
      : shared(shared), order(order), who(who) {}

  result<std::optional<table_row>> read(const std::string& key) override {
    return this->order.take(this->who, [&] { return this->shared.read(key); });
  }

  result<std::vector<table_row>> read_prefix(
      const std::string& prefix) override {
    return this->order.take(this->who,
                            [&] { return this->shared.read_prefix(prefix); });
  }

  result<std::vector<std::string>> transact(
      const std::vector<table_write>& writes) override {
    return this->order.take(this->who,
                            [&] { return this->shared.transact(writes); });
  }

 private:
  fake_table& shared;
  turns& order;
  bool who;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_TEST_TURN_TABLE_HPP
