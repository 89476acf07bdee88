#ifndef BORAGEHILL_TEST_FAKE_BACKEND_HPP
#define BORAGEHILL_TEST_FAKE_BACKEND_HPP

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boragehill/answer_sink.hpp>
#include <boragehill/backend.hpp>
#include <boragehill/backend_request.hpp>
#include <boragehill/engine_order.hpp>
#include <boragehill/engine_state.hpp>
#include <boragehill/result_code.hpp>

namespace boragehill::agent {

/// The engine of a test; it outlives the agents beside it.
struct fake_engine {
  std::mutex mutex;
  std::condition_variable changed;
  engine_state state{.incarnation = "e1", .capacity_bytes = 100, .slots = 2};
  std::vector<engine_order> orders;
  std::set<std::string> cancelled;
  std::vector<std::string> runs;
  /// Requests wait inside `run` while this is set.
  bool hold = false;
  /// Running requests end as if the engine had died.
  bool crashed = false;
  /// So many orders take effect and lose their answer.
  int answers_to_lose = 0;

  template <class Change>
  void change(Change apply) {
    const std::lock_guard lock(this->mutex);
    apply(*this);
    this->changed.notify_all();
  }

  template <class Look>
  auto look(Look at) {
    const std::lock_guard lock(this->mutex);
    return at(*this);
  }
};

/// A backend over it.
class fake_backend : public backend {
 public:
  explicit fake_backend(fake_engine& engine) : engine(&engine) {}

  result<engine_state> state() override {
    const std::lock_guard lock(this->engine->mutex);
    if (this->engine->crashed) return result_code::engine_down;
    return this->engine->state;
  }

  result<void> carry_out(const engine_order& order) override {
    const std::lock_guard lock(this->engine->mutex);
    this->engine->orders.push_back(order);
    auto& models = this->engine->state.models;
    std::erase_if(models,
                  [&](const auto& model) { return model.name == order.model; });
    if (order.kind == order_kind::load) {
      models.push_back({.name = order.model, .bytes = order.bytes});
    }
    if (this->engine->answers_to_lose > 0) {
      --this->engine->answers_to_lose;
      return result_code::order_unknown;
    }
    return success();
  }

  result<void> run(const backend_request& request, answer_sink& sink) override {
    std::unique_lock lock(this->engine->mutex);
    this->engine->runs.push_back(request.attempt);
    lock.unlock();
    if (!sink.head(200, "text/plain")) return result_code::caller_gone;
    if (!sink.piece("half ")) return result_code::caller_gone;
    lock.lock();
    this->engine->changed.wait(lock, [&] {
      return !this->engine->hold || this->engine->crashed ||
             this->engine->cancelled.contains(request.attempt);
    });
    if (this->engine->crashed) return result_code::engine_crashed;
    if (this->engine->cancelled.contains(request.attempt)) {
      return result_code::caller_gone;
    }
    lock.unlock();
    if (!sink.piece("whole")) return result_code::caller_gone;
    return success();
  }

  void cancel(const std::string& attempt) override {
    this->engine->change(
        [&](fake_engine& own) { own.cancelled.insert(attempt); });
  }

 private:
  fake_engine* engine;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_TEST_FAKE_BACKEND_HPP
