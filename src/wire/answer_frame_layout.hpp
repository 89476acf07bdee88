#ifndef BORAGEHILL_WIRE_ANSWER_FRAME_LAYOUT_HPP
#define BORAGEHILL_WIRE_ANSWER_FRAME_LAYOUT_HPP

#include <cstddef>

namespace boragehill::wire::detail {

/// The first byte of a frame.
enum class answer_kind : unsigned char {
  head = 1,
  piece = 2,
  end = 3,
  failure = 4,
};

/// Bytes before a frame's body: the kind and the body's length.
inline constexpr std::size_t answer_header_length = 5;
/// Bytes of a status before the content type.
inline constexpr std::size_t head_fixed_length = 4;
/// Bytes of an end frame's body: length and checksum.
inline constexpr std::size_t end_length = 16;
/// Bytes of code and ran state before a failure's message.
inline constexpr std::size_t failure_fixed_length = 5;

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_ANSWER_FRAME_LAYOUT_HPP
