#ifndef BORAGEHILL_ENGINE_RUNNING_REQUEST_HPP
#define BORAGEHILL_ENGINE_RUNNING_REQUEST_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <functional>
#include <string>
#include <system_error>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

#include "http/message_parser.hpp"

namespace boragehill {
class answer_sink;
struct backend_request;
}  // namespace boragehill

namespace boragehill::engine::detail {

/// One request on its own connection to a backend server.
///
/// The answer's end is found in its bytes alone. A connection's close says
/// nothing about it: a backend server closes a kept connection that is idle
/// just as one that crashes closes it in the middle.
class running_request {
 public:
  /// \param address Where the backend server listens.
  explicit running_request(endpoint address);

  /// Sends the request and hands its answer over; called once.
  ///
  /// \return As `request_runner::run`.
  result<void> run(const backend_request& request, answer_sink& sink);

  /// Breaks the request off, from any thread.
  void stop();

 private:
  using step = std::function<void(std::error_code, std::size_t)>;

  std::error_code connect();
  std::error_code write(const std::string& text);
  result<void> read_answer(answer_sink& sink, milliseconds silence);
  /// Passes on what the parser has read.
  /// \return False if the sink wants no more.
  bool hand_over(answer_sink& sink);
  /// \return How a run ended that broke off in the middle.
  result<void> broken_off() const;

  /// Starts one operation and waits for its end.
  std::error_code wait_for(milliseconds limit,
                           const std::function<void(step)>& start);

  endpoint address;
  asio::io_context context;
  asio::ip::tcp::socket socket;
  http::message_parser parser;
  std::size_t received = 0;
  bool head_passed_on = false;
  std::atomic<bool> is_stopped{false};
};

}  // namespace boragehill::engine::detail

#endif  // BORAGEHILL_ENGINE_RUNNING_REQUEST_HPP
