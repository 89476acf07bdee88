#ifndef BORAGEHILL_DECIDE_RETRY_TOKEN_BUCKET_HPP
#define BORAGEHILL_DECIDE_RETRY_TOKEN_BUCKET_HPP

namespace boragehill::decide {

/// Token bucket that bounds one router's retries to a share of its first
/// attempts. `windowed_retry_budget` bounds the retries of all routers
/// together.
///
/// Without it, a fault that fails every attempt multiplies the load when there
/// is least capacity.
class retry_token_bucket {
 public:
  /// \param tokens_per_attempt Tokens added by each first attempt, such as 0.1.
  /// \param max_tokens Capacity of the bucket in tokens; it starts full.
  retry_token_bucket(double tokens_per_attempt, double max_tokens);

  /// Adds the tokens of one first attempt.
  void on_first_attempt();

  /// Takes a token for one retry.
  ///
  /// \return False if no token is left: the retry must not be made.
  bool take_retry();

  /// Returns the number of tokens left.
  double tokens() const;

 private:
  double tokens_per_attempt;
  double max_tokens;
  double tokens_left;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RETRY_TOKEN_BUCKET_HPP
