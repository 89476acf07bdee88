#ifndef BORAGEHILL_DECIDE_SEND_BUDGET_HPP
#define BORAGEHILL_DECIDE_SEND_BUDGET_HPP

#include <deque>

#include <boragehill/time_point.hpp>

#include "decide/send_budget_settings.hpp"

namespace boragehill::decide {

/// One router's share of the repeats that a service may get in any window.
///
/// Answers a fault that fails every attempt: without a bound, repeats multiply
/// the load just when there is least room. All routers share the bound without
/// talking: the part by ratio goes by a router's own traffic, the constant
/// part is divided by their number, and `margin` of the whole is left unused
/// for windows that slide differently.
class send_budget {
 public:
  /// Part of the bound that is used.
  static constexpr double margin = 0.8;

  explicit send_budget(const send_budget_settings& settings)
      : settings(settings) {}

  /// Counts a request of a caller.
  void on_request(time_point now);

  /// Takes leave for one arrival beyond a request's first.
  /// \param routers The routers that share the bound.
  /// \return False if the share is used up: the request must not be sent again.
  bool take(time_point now, int routers);

  /// \return Repeats that could be taken now.
  double left(time_point now, int routers);

 private:
  void forget_old(time_point now);

  send_budget_settings settings;
  std::deque<time_point> requests;
  std::deque<time_point> repeats;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SEND_BUDGET_HPP
