#include "app/log_line.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace boragehill::app {

namespace {

constexpr std::string_view first_key = "time_ms=";

/// Takes a quoted text off the front.
std::string take_quoted(std::string_view& text) {
  std::string value;
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '"') {
    if (text.front() == '\\' && text.size() > 1) text.remove_prefix(1);
    value += text.front();
    text.remove_prefix(1);
  }
  if (!text.empty()) text.remove_prefix(1);
  return value;
}

std::string take_plain(std::string_view& text) {
  const auto end = std::min(text.find(' '), text.size());
  std::string value(text.substr(0, end));
  text.remove_prefix(end);
  return value;
}

/// Takes `key=value` and the space behind it off the front.
std::optional<std::pair<std::string, std::string>> take_field(
    std::string_view& text) {
  const auto equals = text.find('=');
  if (equals == std::string_view::npos) return std::nullopt;
  std::string key(text.substr(0, equals));
  text.remove_prefix(equals + 1);
  const bool quoted = !text.empty() && text.front() == '"';
  std::string value = quoted ? take_quoted(text) : take_plain(text);
  if (!text.empty()) text.remove_prefix(1);
  return std::pair{std::move(key), std::move(value)};
}

}  // namespace

std::string log_line::field(const std::string& key) const {
  const auto found = this->fields.find(key);
  return found == this->fields.end() ? std::string() : found->second;
}

std::optional<log_line> parse_log_line(std::string_view text) {
  const auto begin = text.find(first_key);
  if (begin == std::string_view::npos) return std::nullopt;
  log_line line;
  line.source = text.substr(0, begin);
  text.remove_prefix(begin);
  while (!text.empty()) {
    auto field = take_field(text);
    if (!field) break;
    line.fields.insert(std::move(*field));
  }
  const std::string time = line.field("time_ms");
  std::from_chars(time.data(), time.data() + time.size(), line.time_ms);
  line.name = line.field("name");
  for (const char* key : {"time_ms", "name", "level", "event"}) {
    line.fields.erase(key);
  }
  if (line.name.empty()) return std::nullopt;
  return line;
}

}  // namespace boragehill::app
