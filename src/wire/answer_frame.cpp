#include "wire/answer_frame.hpp"

#include "wire/answer_frame_layout.hpp"
#include "wire/big_endian.hpp"

namespace boragehill::wire {

namespace {

/// Writes each kind's body.
struct body_writer {
  std::string operator()(const frame_head& head) const {
    std::string body;
    detail::append_big_endian(body, static_cast<std::uint32_t>(head.status));
    return body + head.content_type;
  }

  std::string operator()(const frame_piece& piece) const { return piece.bytes; }

  std::string operator()(const frame_end& end) const {
    std::string body;
    detail::append_big_endian(body, end.length);
    detail::append_big_endian(body, end.checksum);
    return body;
  }

  std::string operator()(const frame_failure& failure) const {
    std::string body;
    detail::append_big_endian(body, static_cast<std::uint32_t>(failure.code));
    body += static_cast<char>(failure.ran);
    return body + failure.message;
  }
};

}  // namespace

std::string encode(const answer_frame& frame) {
  const std::string body = std::visit(body_writer(), frame);
  std::string bytes;
  bytes.reserve(detail::answer_header_length + body.size());
  // The variant's order is the wire's order of kinds, from 1.
  bytes += static_cast<char>(frame.index() + 1);
  detail::append_big_endian(bytes, static_cast<std::uint32_t>(body.size()));
  return bytes + body;
}

}  // namespace boragehill::wire
