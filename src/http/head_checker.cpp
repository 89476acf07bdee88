#include "http/head_checker.hpp"

#include <absl/strings/ascii.h>

namespace boragehill::http {

namespace {

constexpr std::string_view version_prefix = "HTTP/1.";
constexpr std::size_t minor_version_at = version_prefix.size();
constexpr std::size_t status_at = minor_version_at + 2;
/// The version, the status and what ends it.
constexpr std::size_t status_line_bytes = status_at + 4;

/// \param line May end behind the status.
/// \return True if it holds a version of HTTP/1 and a status of a known class.
bool begins_status_line(std::string_view line) {
  if (line.size() + 1 < status_line_bytes) return false;
  if (line.substr(0, minor_version_at) != version_prefix) return false;
  if (!absl::ascii_isdigit(line[minor_version_at])) return false;
  if (line[minor_version_at + 1] != ' ') return false;
  const auto status = line.substr(status_at);
  if (status[0] < '1' || status[0] > '5') return false;
  if (!absl::ascii_isdigit(status[1])) return false;
  if (!absl::ascii_isdigit(status[2])) return false;
  return line.size() < status_line_bytes || line.back() == ' ';
}

}  // namespace

void head_checker::feed(std::string_view bytes) {
  for (const char byte : bytes) {
    if (this->at != place::start_line) return;
    this->read(byte);
  }
}

void head_checker::read(char byte) {
  if (byte == '\r') return;
  if (byte == '\n') return this->end_start_line();
  if (this->start_line.size() < status_line_bytes) this->start_line += byte;
}

void head_checker::end_start_line() {
  // Empty lines may come before a message.
  if (this->start_line.empty()) return;
  const bool valid = this->kind == message_kind::request ||
                     begins_status_line(this->start_line);
  this->at = valid ? place::after_start_line : place::invalid;
}

void head_checker::restart() {
  this->at = place::start_line;
  this->start_line.clear();
}

}  // namespace boragehill::http
