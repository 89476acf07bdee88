#ifndef BORAGEHILL_HTTP_MESSAGE_PARSER_HPP
#define BORAGEHILL_HTTP_MESSAGE_PARSER_HPP

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

#include "http/head_checker.hpp"
#include "http/message_head.hpp"
#include "http/message_kind.hpp"

namespace boragehill::http {

/// Reads HTTP/1.1 messages from pieces of bytes, one after the other, and
/// tells exactly where each one ends.
///
///     parser.feed(bytes);
///     if (parser.head_complete()) use(parser.head());
///     pass_on(parser.take_body());
///     if (parser.complete()) parser.next();
class message_parser {
 public:
  /// \param max_head_bytes Longer heads, and those of hundreds of fields, fail
  ///     with `head_too_large()`. Line ends
  ///     before a head, chunk extensions and trailers that are twice as long
  ///     fail, too: nothing else would end them.
  message_parser(message_kind kind, std::size_t max_head_bytes);

  message_parser(const message_parser&) = delete;
  message_parser& operator=(const message_parser&) = delete;

  /// Reads bytes up to the end of the message.
  /// \return How many were read; fewer than given only at the end of a message
  ///     or after a failure.
  std::size_t feed(std::string_view bytes);

  /// Tells that the connection ended in order.
  /// \return True if that completes the message, as it does for an answer
  ///     without a length.
  bool finish();

  /// Makes ready for the next message on the connection.
  void next();

  /// The answer that comes has no body whatever its head says (HEAD).
  void expect_no_body() { this->bodiless = true; }

  bool head_complete() const { return this->head_done; }
  bool complete() const { return this->message_done; }
  bool failed() const { return this->broken; }
  bool head_too_large() const { return this->oversized; }
  /// \return True once a byte of the current message was read.
  bool begun() const { return this->any_byte; }
  /// \return True if only the connection's end completes the message.
  bool ends_with_connection() const { return this->current.unframed; }

  const message_head& head() const { return this->current; }

  /// Takes the body's bytes that were read since the last call.
  std::string take_body();

 private:
  static http_parser_settings make_callbacks();
  static message_parser& owner(http_parser* raw);

  void on_head();
  /// \return False for a body in another coding than chunks: its coding isn't
  ///     passed on, so nobody could read it.
  bool has_known_coding() const;
  /// \return True for an answer without a length.
  bool has_open_end() const;
  /// \return True for an answer that has no body whatever its head says.
  bool lacks_body() const;
  void count_head(std::size_t bytes);
  /// Counts bytes that were read and hold `body_bytes` of the body.
  void count_framing(std::size_t bytes, std::size_t body_bytes);

  http_parser raw{};
  message_kind kind;
  head_checker checker;
  std::size_t max_head_bytes;
  message_head current;
  std::string body;
  std::size_t head_bytes = 0;
  /// Bytes since the last one of the body.
  std::size_t framing_bytes = 0;
  bool last_was_value = true;
  std::string field;
  std::string value;
  bool head_done = false;
  bool message_done = false;
  bool broken = false;
  bool oversized = false;
  bool bodiless = false;
  bool any_byte = false;

  void flush_header();
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_MESSAGE_PARSER_HPP
