#ifndef BORAGEHILL_DECIDE_RETRY_BUDGET_HPP
#define BORAGEHILL_DECIDE_RETRY_BUDGET_HPP

namespace boragehill::decide {

/// A token bucket that bounds retries to a share of the first attempts.
///
/// Without it, a fault that fails every attempt multiplies the load just when
/// there is least room for it.
class retry_budget {
 public:
  /// \param share Tokens that each first attempt adds, as 0.1.
  /// \param burst The most tokens kept; the budget starts with this many.
  retry_budget(double share, double burst);

  /// Adds one first attempt's share.
  void on_first_attempt();

  /// Takes a token for one retry.
  ///
  /// \return False if the budget is spent: the retry must not be made.
  bool take_retry();

  /// Returns the tokens left.
  double tokens() const;

 private:
  double share;
  double burst;
  double left;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RETRY_BUDGET_HPP
