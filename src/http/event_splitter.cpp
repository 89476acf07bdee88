#include "http/event_splitter.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <utility>

namespace boragehill::http {

namespace {

constexpr std::string_view id_field = "id:";
constexpr char comment_mark = ':';

/// A line ends with CR LF, LF or CR.
constexpr std::string_view line_end_letters = "\r\n";

/// Takes the first line off a text.
/// \return The line without its end; the rest of the text if it has no end.
std::string_view take_line(std::string_view& text) {
  const auto line = text.substr(0, text.find_first_of(line_end_letters));
  text.remove_prefix(line.size());
  if (text.starts_with(line_end_letters)) {
    text.remove_prefix(line_end_letters.size());
  } else if (!text.empty()) {
    text.remove_prefix(1);
  }
  return line;
}

bool is_field(std::string_view line) {
  return !line.empty() && line.front() != comment_mark;
}

bool has_field(std::string_view text) {
  while (!text.empty()) {
    if (is_field(take_line(text))) return true;
  }
  return false;
}

/// \return The size of the first event with its empty line; 0 if that line
///     hasn't come.
std::size_t first_event_size(std::string_view text) {
  auto left = text;
  while (left.find_first_of(line_end_letters) != std::string_view::npos) {
    if (take_line(left).empty()) return text.size() - left.size();
  }
  return 0;
}

/// \return The last id in an event, if it has one.
std::optional<std::string> id_of(std::string_view event) {
  std::optional<std::string> id;
  while (!event.empty()) {
    auto line = take_line(event);
    if (!line.starts_with(id_field)) continue;
    line.remove_prefix(id_field.size());
    const auto bare = absl::StripAsciiWhitespace({line.data(), line.size()});
    id = std::string(bare.data(), bare.size());
  }
  return id;
}

std::optional<std::uint64_t> number_of(const std::string& id) {
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(id, &number)) return std::nullopt;
  return number;
}

}  // namespace

std::string event_splitter::feed(std::string_view bytes) {
  this->rest += bytes;
  std::size_t end = 0;
  while (true) {
    const auto left = std::string_view(this->rest).substr(end);
    const auto size = first_event_size(left);
    if (size == 0) break;
    if (this->is_repeated(left.substr(0, size))) {
      this->repeated = true;
      break;
    }
    this->note_event(left.substr(0, size));
    end += size;
  }
  std::string events = this->rest.substr(0, end);
  this->rest.erase(0, end);
  return events;
}

void event_splitter::restart() {
  this->rest.clear();
  this->count = 0;
  this->behind = this->id ? number_of(*this->id) : std::nullopt;
  this->repeated = false;
}

void event_splitter::begin_after(std::string_view last_id) {
  this->id = std::string(last_id);
}

bool event_splitter::is_repeated(std::string_view event) const {
  if (!this->behind) return false;
  const auto id = id_of(event);
  const auto number = id ? number_of(*id) : std::nullopt;
  return number && *number <= *this->behind;
}

bool event_splitter::inside_event() const {
  return has_field(this->rest);
}

void event_splitter::note_event(std::string_view event) {
  if (!has_field(event)) return;
  ++this->count;
  if (auto found = id_of(event)) this->id = std::move(found);
}

}  // namespace boragehill::http
