#ifndef BORAGEHILL_FLEET_TEST_WIDE_SERVER_HPP
#define BORAGEHILL_FLEET_TEST_WIDE_SERVER_HPP

#include <cstddef>
#include <string>

#include "fleet-test/answering_server.hpp"

namespace boragehill::fleet_test {

/// A plain server that answers any number of requests at once: with a long body
/// those whose target ends in "long", and the others with a short one.
class wide_server {
 public:
  /// \param id What it registers under.
  /// \param long_bytes Of a long body.
  wide_server(const endpoint& address, std::string id, std::size_t long_bytes);

  /// \return What it writes to the store, as JSON.
  std::string entry() const;

 private:
  server_answer_bytes answer(const http::message_head& request) const;

  std::string id;
  std::string long_body;
  answering_server server;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_WIDE_SERVER_HPP
