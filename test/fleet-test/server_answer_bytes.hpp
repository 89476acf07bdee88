#ifndef BORAGEHILL_FLEET_TEST_SERVER_ANSWER_BYTES_HPP
#define BORAGEHILL_FLEET_TEST_SERVER_ANSWER_BYTES_HPP

#include <string>
#include <string_view>

namespace boragehill::fleet_test {

/// What a server sends for one request.
struct server_answer_bytes {
  std::string head;
  /// Belongs to the test, so that many answers can share a long one.
  std::string_view body;
  /// Sent before the answer to the next request on the connection.
  std::string late;
  /// The connection ends in order after it.
  bool closes = false;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_SERVER_ANSWER_BYTES_HPP
