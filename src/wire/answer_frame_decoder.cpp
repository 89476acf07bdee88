#include "wire/answer_frame_decoder.hpp"

#include <cstdint>
#include <optional>
#include <utility>

#include "wire/answer_frame_layout.hpp"
#include "wire/big_endian.hpp"

namespace boragehill::wire {

namespace {

using detail::answer_kind;
using detail::read_big_endian;

std::optional<answer_frame> decode_head(std::string_view body) {
  if (body.size() < detail::head_fixed_length) return std::nullopt;
  return frame_head{
      .status = static_cast<int>(read_big_endian<std::uint32_t>(body)),
      .content_type = std::string(body.substr(detail::head_fixed_length))};
}

std::optional<answer_frame> decode_end(std::string_view body) {
  if (body.size() != detail::end_length) return std::nullopt;
  return frame_end{.length = read_big_endian<std::uint64_t>(body),
                   .checksum = read_big_endian<std::uint64_t>(body.substr(8))};
}

std::optional<answer_frame> decode_failure(std::string_view body) {
  if (body.size() < detail::failure_fixed_length) return std::nullopt;
  const auto ran = static_cast<ran_state>(body[4]);
  const bool known = ran == ran_state::no || ran == ran_state::unknown ||
                     ran == ran_state::yes;
  if (!known) return std::nullopt;
  return frame_failure{
      .code = static_cast<result_code>(read_big_endian<std::uint32_t>(body)),
      .ran = ran,
      .message = std::string(body.substr(detail::failure_fixed_length))};
}

std::optional<answer_frame> decode(answer_kind kind, std::string_view body) {
  switch (kind) {
    case answer_kind::head:
      return decode_head(body);
    case answer_kind::piece:
      return frame_piece{.bytes = std::string(body)};
    case answer_kind::end:
      return decode_end(body);
    case answer_kind::failure:
      return decode_failure(body);
  }
  return std::nullopt;
}

bool is_kind(answer_kind kind) {
  return kind >= answer_kind::head && kind <= answer_kind::failure;
}

}  // namespace

result<void> answer_frame_decoder::feed(
    std::string_view bytes, const std::function<bool(answer_frame&&)>& take) {
  if (this->stopped) return result_code::frame_garbled;
  this->pending.append(bytes);
  std::string_view rest = this->pending;
  while (rest.size() >= detail::answer_header_length) {
    const auto kind = static_cast<answer_kind>(rest.front());
    const std::size_t length = read_big_endian<std::uint32_t>(rest.substr(1));
    // Checked before the body is awaited: a garbled length would otherwise
    // make the router hold up to 4 GiB for a frame that never ends.
    this->stopped = !is_kind(kind) || length > max_answer_frame;
    if (!is_kind(kind)) return result_code::frame_garbled;
    if (this->stopped) return result_code::frame_too_large;
    const std::size_t whole = detail::answer_header_length + length;
    if (rest.size() < whole) break;
    auto frame =
        decode(kind, rest.substr(detail::answer_header_length, length));
    this->stopped = !frame;
    if (!frame) return result_code::frame_garbled;
    rest.remove_prefix(whole);
    this->stopped = !take(std::move(*frame));
    if (this->stopped) return success();
  }
  this->pending.erase(0, this->pending.size() - rest.size());
  return success();
}

}  // namespace boragehill::wire
