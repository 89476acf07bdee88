#ifndef BORAGEHILL_DECIDE_QUOTA_CHARGE_HPP
#define BORAGEHILL_DECIDE_QUOTA_CHARGE_HPP

#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// What one send has taken of its account's quota.
struct quota_charge {
  std::string account;
  double cost = 0;
  /// Until when the tokens can be given back.
  time_point expires;

  bool operator==(const quota_charge&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_CHARGE_HPP
