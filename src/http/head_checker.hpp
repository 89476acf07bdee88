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
/// digits. As Debian builds it, it takes blanks in a field's name, and
/// "Content-Length " then frames the message though nobody else finds a length.
class head_checker {
 public:
  explicit head_checker(message_kind kind) : kind(kind) {}

  /// Reads bytes up to the end of the head; further ones are passed over.
  void feed(std::string_view bytes);

  /// Makes ready for the next head.
  void restart();

  /// \return True if the bytes so far begin no valid head.
  bool failed() const { return this->at == place::invalid; }
  /// \return True if that is since the head has too many fields.
  bool has_too_many_fields() const { return this->fields > max_fields; }

 private:
  /// A field is held in some hundred bytes, however short it is.
  static constexpr int max_fields = 256;

  enum class place {
    start_line,
    first_line_begin,
    line_begin,
    name,
    value,
    end,
    invalid
  };

  void read(char byte);
  void read_start_line(char byte);
  void read_line_begin(char byte);
  void read_name(char byte);
  void read_value(char byte);

  message_kind kind;
  place at = place::start_line;
  /// A carriage return came, which only a line feed may follow.
  bool line_ends = false;
  int fields = 0;
  /// The beginning of the start line.
  std::string start_line;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_HEAD_CHECKER_HPP
