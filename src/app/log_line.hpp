#ifndef BORAGEHILL_APP_LOG_LINE_HPP
#define BORAGEHILL_APP_LOG_LINE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace boragehill::app {

/// One line of a process's log, as it was written to standard output.
struct log_line {
  /// By the clock of the process that wrote it, in milliseconds.
  std::int64_t time_ms = 0;
  /// What stands before the line's own text, such as a host's name that a log
  /// collector adds.
  std::string source;
  /// The event's name.
  std::string name;
  /// All other fields, unescaped.
  std::map<std::string, std::string> fields;

  bool operator==(const log_line&) const = default;

  /// \return The field's value; empty if it has none.
  std::string field(const std::string& key) const;
};

/// Reads a line.
/// \return Nothing if it isn't an event.
std::optional<log_line> parse_log_line(std::string_view text);

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_LOG_LINE_HPP
