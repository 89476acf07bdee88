#ifndef BORAGEHILL_HTTP_CALL_CONNECTION_HPP
#define BORAGEHILL_HTTP_CALL_CONNECTION_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

#include "http/call_failure.hpp"
#include "http/call_limits.hpp"
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
  /// Receives the number of bytes that were read.
  using progress_receiver = std::function<void(std::size_t bytes)>;

  call_connection(asio::io_context& context, endpoint peer);

  /// Sends a request; there must be none under way.
  /// \param text The whole request, head and body.
  void call(std::string text, const call_limits& limits, receiver receive);

  /// \param limit From now to the whole answer.
  void call(std::string text, milliseconds limit, receiver receive) {
    this->call(std::move(text), {limit, limit, limit}, std::move(receive));
  }

  /// Breaks off; the call under way, if any, gets `platform_answer_lost`.
  void close();

  bool idle() const { return !this->receive; }

  /// Sets who is told of each piece of a response.
  void on_progress(progress_receiver receive) {
    this->progress = std::move(receive);
  }

  /// \return Bytes of the response to the last call so far.
  std::size_t received() const { return this->received_bytes; }

  /// \return When the first byte of that response was read.
  time_point first_byte_time() const { return this->first_byte; }

  /// \return Status of that response; 0 until its head is complete.
  int status() const {
    return this->parser.head_complete() ? this->parser.head().status : 0;
  }

  /// \return Why the last call failed. `too_long` may stand beside a response,
  ///     which is whole by its own length.
  call_failure failure() const { return this->why_failed; }

 private:
  void connect();
  void write();
  void read();
  void on_read(std::size_t size);
  void on_read_failed(std::error_code error);
  void complete();
  void wait_for_deadline();
  void on_deadline();
  time_point deadline() const;
  void fail(call_failure why);
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
  progress_receiver progress;
  std::size_t received_bytes = 0;
  call_limits limits;
  time_point called;
  time_point first_byte;
  time_point last_byte;
  call_failure why_failed = call_failure::none;
  bool connected = false;
  bool sent = false;
  /// Tells callbacks of an earlier socket from those of this one.
  std::uint64_t generation = 0;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_CALL_CONNECTION_HPP
