#include "kernel/trace_context.hpp"

#include <algorithm>

#include "kernel/random.hpp"

namespace boragehill::kernel {

namespace {

constexpr std::size_t trace_digits = 32;
constexpr std::size_t span_digits = 16;
// Version, trace id, span id and flags, with three dashes between them.
constexpr std::size_t header_length =
    2 + 1 + trace_digits + 1 + span_digits + 3;

bool is_lower_hex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
  });
}

bool is_id(std::string_view text) {
  return is_lower_hex(text) &&
         text.find_first_not_of('0') != std::string_view::npos;
}

/// A drawn id of zeros only would be invalid on the wire.
std::string fresh_id(std::size_t digits) {
  std::string id = random_hex(digits);
  while (!is_id(id)) id = random_hex(digits);
  return id;
}

int digit_value(char digit) {
  return digit <= '9' ? digit - '0' : digit - 'a' + 10;
}

bool has_shape(std::string_view header) {
  if (header.size() < header_length) return false;
  const std::string_view version = header.substr(0, 2);
  if (!is_lower_hex(version) || version == "ff") return false;
  // Version 00 ends here; a later one may go on after a dash.
  if (header.size() == header_length) return true;
  return version != "00" && header[header_length] == '-';
}

}  // namespace

std::string trace_context::to_string() const {
  return "00-" + this->trace_id + "-" + this->span_id +
         (this->sampled ? "-01" : "-00");
}

trace_context trace_context::child() const {
  return {.trace_id = this->trace_id,
          .span_id = fresh_id(span_digits),
          .sampled = this->sampled};
}

trace_context trace_context::fresh() {
  return {.trace_id = fresh_id(trace_digits),
          .span_id = fresh_id(span_digits),
          .sampled = true};
}

std::optional<trace_context> trace_context::parse(std::string_view header) {
  if (!has_shape(header)) return std::nullopt;
  if (header[2] != '-' || header[35] != '-' || header[52] != '-') {
    return std::nullopt;
  }
  const std::string_view trace = header.substr(3, trace_digits);
  const std::string_view span = header.substr(36, span_digits);
  const std::string_view flags = header.substr(53, 2);
  if (!is_id(trace) || !is_id(span) || !is_lower_hex(flags)) {
    return std::nullopt;
  }
  return trace_context{.trace_id = std::string(trace),
                       .span_id = std::string(span),
                       .sampled = (digit_value(flags[1]) & 1) == 1};
}

}  // namespace boragehill::kernel
