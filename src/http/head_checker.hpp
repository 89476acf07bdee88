#ifndef BORAGEHILL_HTTP_HEAD_CHECKER_HPP
#define BORAGEHILL_HTTP_HEAD_CHECKER_HPP

#include <string>
#include <string_view>

#include "http/message_kind.hpp"

namespace boragehill::http {

/// Checks the head of a message against the grammar of RFC 9112 where the
/// parser library is more lenient.
///
/// The library reads any number as a status and tells its value, not its
/// digits.
class head_checker {
 public:
  explicit head_checker(message_kind kind) : kind(kind) {}

  /// Reads bytes up to the end of the status line; further ones are passed
  /// over.
  void feed(std::string_view bytes);

  /// Makes ready for the next head.
  void restart();

  /// \return True if the bytes so far begin no valid head.
  bool failed() const { return this->at == place::invalid; }

 private:
  enum class place { start_line, after_start_line, invalid };

  void read(char byte);
  void end_start_line();

  message_kind kind;
  place at = place::start_line;
  /// The beginning of the start line.
  std::string start_line;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_HEAD_CHECKER_HPP
