#ifndef BORAGEHILL_FLEET_TEST_WIDE_SERVER_HPP
#define BORAGEHILL_FLEET_TEST_WIDE_SERVER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <thread>

#include <boragehill/endpoint.hpp>

namespace boragehill::fleet_test {

/// A plain server that answers any number of requests at once: with a long body
/// those whose target ends in "long", and the others with a short one.
class wide_server {
 public:
  /// \param id What it registers under.
  /// \param long_bytes Of a long body.
  wide_server(const endpoint& address, std::string id, std::size_t long_bytes);
  ~wide_server();

  /// \return What it writes to the store, as JSON.
  std::string entry() const;

 private:
  class connection;

  void accept();

  endpoint address;
  std::string id;
  std::string long_body;
  asio::io_context context{1};
  asio::ip::tcp::acceptor acceptor{this->context};
  std::thread thread;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_WIDE_SERVER_HPP
