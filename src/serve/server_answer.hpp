#ifndef BORAGEHILL_SERVE_SERVER_ANSWER_HPP
#define BORAGEHILL_SERVE_SERVER_ANSWER_HPP

#include <string>

#include "http/message_head.hpp"

namespace boragehill::serve {

/// Receives what becomes of a request that was sent to a server. After
/// `on_unsent`, `on_end` or `on_broken` nothing more comes.
class server_answer {
 public:
  server_answer() = default;
  server_answer(const server_answer&) = delete;
  server_answer& operator=(const server_answer&) = delete;
  virtual ~server_answer() = default;

  /// The connection failed before a byte of the request was sent: it did not
  /// run.
  virtual void on_unsent() = 0;

  /// The head of an answer came.
  /// \return False if it answers another request: it is skipped whole.
  virtual bool on_head(const http::message_head& head) = 0;

  /// Bytes of the body came.
  virtual void on_body(const std::string& bytes) = 0;

  /// The answer is complete.
  virtual void on_end() = 0;

  /// The connection ended before the answer was complete, or brought bytes
  /// that are none; the request may have run.
  virtual void on_broken() = 0;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_SERVER_ANSWER_HPP
