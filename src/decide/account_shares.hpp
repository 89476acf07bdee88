#ifndef BORAGEHILL_DECIDE_ACCOUNT_SHARES_HPP
#define BORAGEHILL_DECIDE_ACCOUNT_SHARES_HPP

#include <map>
#include <string>

#include <boragehill/time_point.hpp>

#include "decide/decaying_sum.hpp"

namespace boragehill::decide {

/// What each client account asked of a router lately and what it got.
class account_shares {
 public:
  /// Records a request that arrived.
  void on_request(const std::string& account, time_point now);

  /// Records a request that was sent to a server for the first time.
  void on_sent(const std::string& account, time_point now);

  /// \return True if the account asks for much more than usual.
  bool is_bursting(const std::string& account, time_point now) const;

  /// \return True if less of the account's requests was served than half of
  ///     what was of all accounts'.
  bool is_starved(const std::string& account, time_point now) const;

 private:
  /// In which the served part is counted: about what a burst lasts.
  static constexpr milliseconds served_time{5000};
  static constexpr milliseconds recent_time{1000};
  static constexpr milliseconds usual_time{20000};

  struct share {
    decaying_sum recent{recent_time};
    decaying_sum usual{usual_time};
    decaying_sum asked{served_time};
    decaying_sum sent{served_time};
  };

  std::map<std::string, share> accounts;
  decaying_sum asked{served_time};
  decaying_sum sent{served_time};
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ACCOUNT_SHARES_HPP
