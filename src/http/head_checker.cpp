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

bool is_blank(char byte) {
  return byte == ' ' || byte == '\t';
}

/// \return True for the bytes of a token.
bool is_name_byte(char byte) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(byte) || marks.find(byte) != marks.npos;
}

}  // namespace

void head_checker::feed(std::string_view bytes) {
  for (const char byte : bytes) {
    if (this->at == place::end || this->failed()) return;
    this->read(byte);
  }
}

void head_checker::read(char byte) {
  if (this->line_ends && byte != '\n') {
    this->at = place::invalid;
    return;
  }
  this->line_ends = byte == '\r';
  if (this->line_ends) return;
  switch (this->at) {
    case place::start_line:
      return this->read_start_line(byte);
    case place::first_line_begin:
    case place::line_begin:
      return this->read_line_begin(byte);
    case place::name:
      return this->read_name(byte);
    case place::value:
      return this->read_value(byte);
    case place::end:
    case place::invalid:
      return;
  }
}

void head_checker::read_start_line(char byte) {
  if (byte != '\n') {
    if (this->start_line.size() < status_line_bytes) this->start_line += byte;
    return;
  }
  // Empty lines may come before a message.
  if (this->start_line.empty()) return;
  const bool valid = this->kind == message_kind::request ||
                     begins_status_line(this->start_line);
  this->at = valid ? place::first_line_begin : place::invalid;
}

void head_checker::read_line_begin(char byte) {
  if (byte == '\n') {
    this->at = place::end;
  } else if (is_blank(byte) && this->at == place::line_begin) {
    // Goes on with the field of the line before.
    this->at = place::value;
  } else {
    ++this->fields;
    const bool valid = is_name_byte(byte) && !this->has_too_many_fields();
    this->at = valid ? place::name : place::invalid;
  }
}

void head_checker::read_name(char byte) {
  if (byte == ':') {
    this->at = place::value;
  } else if (!is_name_byte(byte)) {
    this->at = place::invalid;
  }
}

void head_checker::read_value(char byte) {
  if (byte == '\n') {
    this->at = place::line_begin;
  } else if (absl::ascii_iscntrl(byte) && !is_blank(byte)) {
    this->at = place::invalid;
  }
}

void head_checker::restart() {
  this->at = place::start_line;
  this->line_ends = false;
  this->fields = 0;
  this->start_line.clear();
}

}  // namespace boragehill::http
