#ifndef BORAGEHILL_HTTP_MESSAGE_HEAD_HPP
#define BORAGEHILL_HTTP_MESSAGE_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "http/header_list.hpp"

namespace boragehill::http {

/// The first line and headers of a request or an answer.
struct message_head {
  /// Requests only.
  std::string method;
  std::string target;
  /// Answers only.
  int status = 0;
  header_list headers;
  /// The body's length if the head gives it.
  std::optional<std::uint64_t> content_length;
  bool chunked = false;
  /// Answers only: neither a length nor chunks say where the body ends, so it
  /// ends with its connection.
  bool unframed = false;
  /// False for HTTP/1.0, which knows no chunks.
  bool http11 = true;
  /// The connection may carry another message after this one.
  bool keep_alive = true;

  bool operator==(const message_head&) const = default;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_MESSAGE_HEAD_HPP
