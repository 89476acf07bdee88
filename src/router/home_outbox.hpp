#ifndef BORAGEHILL_ROUTER_HOME_OUTBOX_HPP
#define BORAGEHILL_ROUTER_HOME_OUTBOX_HPP

#include "decide/home_action.hpp"

namespace boragehill::router {

/// Carries out a home's actions. Called on the home duty's thread, so an
/// implementation hands the work on and returns.
class home_outbox {
 public:
  virtual ~home_outbox() = default;

  virtual void carry_out(const decide::tell_entry& action) = 0;
  virtual void carry_out(const decide::order_wake& action) = 0;
  virtual void carry_out(const decide::want_grants& action) = 0;
  virtual void carry_out(const decide::share_conviction& action) = 0;
  virtual void carry_out(const decide::load_ended& action) = 0;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_HOME_OUTBOX_HPP
