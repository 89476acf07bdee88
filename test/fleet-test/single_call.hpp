#ifndef BORAGEHILL_FLEET_TEST_SINGLE_CALL_HPP
#define BORAGEHILL_FLEET_TEST_SINGLE_CALL_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boragehill/endpoint.hpp>

#include "fleet-test/call_outcome.hpp"

namespace boragehill::fleet_test {

/// One request on a connection of its own.
class single_call : public std::enable_shared_from_this<single_call> {
 public:
  /// A caller leaves after this.
  static constexpr std::chrono::milliseconds patience{1000};

  /// \param text The request, with `Connection: close`.
  single_call(asio::io_context& context, std::string text,
              std::function<void(call_outcome)> on_ended);

  void start(const endpoint& router);

 private:
  void write();
  void read();
  void on_end_of_stream();
  void end(call_outcome outcome);

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::string text;
  std::string response;
  std::array<char, 4096> buffer{};
  std::function<void(call_outcome)> on_ended;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_SINGLE_CALL_HPP
