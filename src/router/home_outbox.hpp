#ifndef BORAGEHILL_ROUTER_HOME_OUTBOX_HPP
#define BORAGEHILL_ROUTER_HOME_OUTBOX_HPP

#include "decide/home_action.hpp"

namespace boragehill::router {

/// Carries out a home's actions. Called on the home duty's thread, so an
/// implementation hands the work on and returns.
class home_outbox {
 public:
  virtual ~home_outbox() = default;

  virtual void carry_out(const decide::notify_entry& action) = 0;
  virtual void carry_out(const decide::order_load& action) = 0;
  virtual void carry_out(const decide::request_grants& action) = 0;
  virtual void carry_out(const decide::share_quarantine& action) = 0;
  virtual void carry_out(const decide::report_load_end& action) = 0;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_HOME_OUTBOX_HPP
