#ifndef BORAGEHILL_DECIDE_REQUEST_RANK_HPP
#define BORAGEHILL_DECIDE_REQUEST_RANK_HPP

#include <algorithm>
#include <tuple>

namespace boragehill::decide {

/// How urgent a request is: by its client account first, then by its route.
/// Lower is more urgent.
struct request_rank {
  /// 0 where the configuration has no accounts.
  int account = 0;
  int route = 0;

  bool operator==(const request_rank&) const = default;

  bool operator<(const request_rank& other) const {
    return std::tie(this->account, this->route) <
           std::tie(other.account, other.route);
  }

  /// \return The same as one number from 0 to 9, as servers take it: three
  ///     steps of routes in each of an account's.
  int server_priority() const {
    constexpr int lowest = 9;
    constexpr int steps = 3;
    if (this->account <= 0) return std::clamp(this->route, 0, lowest);
    const int step = std::clamp(this->route, 0, steps - 1);
    return std::min(this->account * steps + step, lowest);
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REQUEST_RANK_HPP
