#ifndef BORAGEHILL_ROUTER_SHARED_RETRY_BUDGET_HPP
#define BORAGEHILL_ROUTER_SHARED_RETRY_BUDGET_HPP

#include <mutex>

#include "decide/retry_token_bucket.hpp"

namespace boragehill::router {

/// One router's retry budget, shared by its callers' threads. Thread safe.
class shared_retry_budget {
 public:
  shared_retry_budget(double share, double burst) : budget(share, burst) {}

  void on_first_attempt() {
    const std::lock_guard lock(this->mutex);
    this->budget.on_first_attempt();
  }

  /// Takes one retry; false if the budget is spent.
  bool take_retry() {
    const std::lock_guard lock(this->mutex);
    return this->budget.take_retry();
  }

 private:
  std::mutex mutex;
  decide::retry_token_bucket budget;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_SHARED_RETRY_BUDGET_HPP
