#ifndef BORAGEHILL_HTTP_CALL_CONNECTION_HPP
#define BORAGEHILL_HTTP_CALL_CONNECTION_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

#include "http/message_parser.hpp"
#include "http/whole_answer.hpp"

namespace boragehill::http {

/// A kept connection for calls to an interface, one at a time. All of it runs
/// on the context's thread.
///
/// Errors: `peer_unreachable` if nothing was sent, so the call was not done;
/// `platform_answer_lost` if it may have been done.
class call_connection : public std::enable_shared_from_this<call_connection> {
 public:
  using receiver = std::function<void(result<whole_answer>)>;

  call_connection(asio::io_context& context, endpoint peer);

  /// Sends a request; there must be none under way.
  /// \param text The whole request, head and body.
  /// \param limit From now to the whole answer.
  void call(std::string text, milliseconds limit, receiver receive);

  /// Breaks off; the call under way, if any, gets `platform_answer_lost`.
  void close();

  bool idle() const { return !this->receive; }

 private:
  void connect();
  void write();
  void read();
  void on_read(std::size_t size);
  void fail();
  void finish(result<whole_answer> answer);
  void drop_socket();

  asio::io_context& context;
  endpoint peer;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  message_parser parser;
  std::string request;
  std::string body;
  std::array<char, 16384> buffer{};
  receiver receive;
  bool connected = false;
  bool sent = false;
  /// Tells callbacks of an earlier socket from those of this one.
  std::uint64_t generation = 0;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_CALL_CONNECTION_HPP
