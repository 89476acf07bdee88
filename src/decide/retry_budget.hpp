#ifndef BORAGEHILL_DECIDE_RETRY_BUDGET_HPP
#define BORAGEHILL_DECIDE_RETRY_BUDGET_HPP

namespace boragehill::decide {

/// Token bucket that bounds one router's retries to a share of its first
/// attempts. `windowed_retry_budget` bounds all routers together.
///
/// Without it, a fault that fails every attempt multiplies the load when there
/// is least capacity.
class retry_budget {
 public:
  /// \param share Tokens that each first attempt adds, such as 0.1.
  /// \param burst Capacity of the bucket in tokens; it starts full.
  retry_budget(double share, double burst);

  /// Adds the tokens of one first attempt.
  void on_first_attempt();

  /// Takes a token for one retry.
  ///
  /// \return False if no token is left: the retry must not be made.
  bool take_retry();

  /// Returns the number of tokens left.
  double tokens() const;

 private:
  double share;
  double burst;
  double left;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RETRY_BUDGET_HPP
