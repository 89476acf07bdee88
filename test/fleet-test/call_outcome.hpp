#ifndef BORAGEHILL_FLEET_TEST_CALL_OUTCOME_HPP
#define BORAGEHILL_FLEET_TEST_CALL_OUTCOME_HPP

namespace boragehill::fleet_test {

/// How a caller's try at one router ended.
enum class call_outcome {
  served,
  /// The connection was refused, or ended without a byte of a response.
  unread,
  /// Another status than 200, a response that broke off, or none in time.
  lost
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_CALL_OUTCOME_HPP
