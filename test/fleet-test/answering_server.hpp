#ifndef BORAGEHILL_FLEET_TEST_ANSWERING_SERVER_HPP
#define BORAGEHILL_FLEET_TEST_ANSWERING_SERVER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <thread>

#include <boragehill/endpoint.hpp>

#include "fleet-test/server_answer_bytes.hpp"
#include "http/message_head.hpp"

namespace boragehill::fleet_test {

/// A plain server that answers any number of requests at once, each as soon as
/// it is whole, with bytes that a test chooses.
class answering_server {
 public:
  /// Called on the server's thread.
  using replier = std::function<server_answer_bytes(const http::message_head&)>;

  /// \param address Where it listens; at a free port if the port is 0.
  answering_server(const endpoint& address, replier reply);
  ~answering_server();
  answering_server(const answering_server&) = delete;
  answering_server& operator=(const answering_server&) = delete;

  /// \return What it writes to the store, as JSON.
  std::string entry(int slots) const;

 private:
  class connection;

  void accept();

  replier reply;
  asio::io_context context{1};
  asio::ip::tcp::acceptor acceptor{this->context};
  endpoint address;
  std::thread thread;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_ANSWERING_SERVER_HPP
