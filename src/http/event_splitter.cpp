#include "http/event_splitter.hpp"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace boragehill::http {

namespace {

constexpr std::string_view id_field = "id:";

/// The end of the last complete event: behind its empty line.
std::size_t last_boundary(std::string_view text) {
  const auto plain = text.rfind("\n\n");
  const auto with_returns = text.rfind("\r\n\r\n");
  std::size_t end = 0;
  if (plain != std::string_view::npos) end = plain + 2;
  if (with_returns != std::string_view::npos) {
    end = std::max(end, with_returns + 4);
  }
  return end;
}

}  // namespace

std::string event_splitter::feed(std::string_view bytes) {
  this->rest += bytes;
  const auto end = last_boundary(this->rest);
  std::string events = this->rest.substr(0, end);
  this->rest.erase(0, end);
  this->note_ids(events);
  return events;
}

void event_splitter::note_ids(std::string_view events) {
  std::size_t begin = 0;
  while (begin < events.size()) {
    auto end = events.find('\n', begin);
    if (end == std::string_view::npos) end = events.size();
    auto line = events.substr(begin, end - begin);
    begin = end + 1;
    if (!line.starts_with(id_field)) continue;
    line.remove_prefix(id_field.size());
    const auto bare = absl::StripAsciiWhitespace({line.data(), line.size()});
    this->id = std::string(bare.data(), bare.size());
  }
}

}  // namespace boragehill::http
