#ifndef BORAGEHILL_ROUTER_RENEWAL_DUTY_HPP
#define BORAGEHILL_ROUTER_RENEWAL_DUTY_HPP

#include <mutex>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "kernel/duty.hpp"
#include "kernel/task_pool.hpp"

namespace boragehill::router {

class home_link;
class permit_desk;

/// The thread that renews waiting requests at their homes, and so finds out
/// within one interval and one call timeout that a home is dead or frozen.
class renewal_duty {
 public:
  /// \param desk Where requests wait.
  /// \param homes The way to the homes.
  /// \param calls Runs the calls, so that a frozen home delays no other.
  /// \param interval How often each home is called while requests wait there.
  renewal_duty(permit_desk& desk, home_link& homes, kernel::task_pool& calls,
               milliseconds interval);

  void start() { this->worker.start(); }
  void stop() { this->worker.stop(); }

 private:
  void renew_all();
  void renew(const vm_info& home, const std::vector<std::string>& attempts);

  permit_desk& desk;
  home_link& homes;
  kernel::task_pool& calls;
  std::mutex mutex;
  /// Homes with a call under way.
  std::set<std::string> busy;
  kernel::duty<std::monostate> worker;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_RENEWAL_DUTY_HPP
