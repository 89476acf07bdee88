#ifndef BORAGEHILL_HTTP_CALL_FAILURE_HPP
#define BORAGEHILL_HTTP_CALL_FAILURE_HPP

namespace boragehill::http {

/// Why a call has no response.
enum class call_failure {
  none,
  /// Nothing was sent.
  not_sent,
  /// Nobody listens at the peer's port.
  refused,
  /// The connection failed otherwise, as at a port that is being closed.
  unconnected,
  /// Not a byte came.
  no_response,
  /// The connection ended in the middle of the response.
  cut_off,
  /// The response stalled.
  stalled,
  /// The response took longer than the whole call may.
  too_slow,
  /// The response is not HTTP.
  malformed,
  /// More bytes came than the response's length says.
  too_long
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_CALL_FAILURE_HPP
