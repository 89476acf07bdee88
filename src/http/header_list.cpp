#include "http/header_list.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <utility>

namespace boragehill::http {

namespace {

absl::string_view absl_view(std::string_view text) {
  return {text.data(), text.size()};
}

constexpr std::array<std::string_view, 9> hop_by_hop{
    "connection",         "keep-alive", "proxy-connection",
    "proxy-authenticate", "te",         "trailer",
    "transfer-encoding",  "upgrade",    "proxy-authorization"};

}  // namespace

void header_list::add(std::string name, std::string value) {
  this->headers.push_back({std::move(name), std::move(value)});
}

const std::string* header_list::find(std::string_view name) const {
  for (const auto& each : this->headers) {
    if (same_name(each.name, name)) return &each.value;
  }
  return nullptr;
}

bool header_list::has_token(std::string_view name,
                            std::string_view token) const {
  for (const auto& each : this->headers) {
    if (!same_name(each.name, name)) continue;
    for (const auto part : absl::StrSplit(each.value, ',')) {
      const auto bare = absl::StripAsciiWhitespace(part);
      if (same_name({bare.data(), bare.size()}, token)) return true;
    }
  }
  return false;
}

bool same_name(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(absl_view(left), absl_view(right));
}

bool is_event_stream(const header_list& headers) {
  constexpr std::string_view event_stream = "text/event-stream";
  const auto* type = headers.find("Content-Type");
  if (!type) return false;
  const auto named = std::string_view(*type).substr(0, type->find(';'));
  const auto bare = absl::StripAsciiWhitespace(absl_view(named));
  return same_name({bare.data(), bare.size()}, event_stream);
}

bool is_hop_by_hop(std::string_view name) {
  return std::any_of(
      hop_by_hop.begin(), hop_by_hop.end(),
      [name](std::string_view each) { return same_name(each, name); });
}

}  // namespace boragehill::http
