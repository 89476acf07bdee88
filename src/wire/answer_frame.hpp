#ifndef BORAGEHILL_WIRE_ANSWER_FRAME_HPP
#define BORAGEHILL_WIRE_ANSWER_FRAME_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include <boragehill/ran_state.hpp>
#include <boragehill/result_code.hpp>

namespace boragehill::wire {

/// The most bytes in one frame's body.
inline constexpr std::size_t max_answer_frame = 16u << 20;

/// Opens an answer.
struct frame_head {
  int status = 0;
  std::string content_type;

  bool operator==(const frame_head&) const = default;
};

/// The next bytes of an answer's body.
struct frame_piece {
  std::string bytes;

  bool operator==(const frame_piece&) const = default;
};

/// Ends a whole answer: the body's length in bytes and its XXH64.
struct frame_end {
  std::uint64_t length = 0;
  std::uint64_t checksum = 0;

  bool operator==(const frame_end&) const = default;
};

/// Ends an answer that isn't whole.
struct frame_failure {
  result_code code = result_code::outcome_unknown;
  ran_state ran = ran_state::unknown;
  std::string message;

  bool operator==(const frame_failure&) const = default;
};

/// One frame of an answer on its way from agent to router. On the wire: one
/// byte of kind, a big-endian 32-bit body length, the body.
using answer_frame =
    std::variant<frame_head, frame_piece, frame_end, frame_failure>;

/// \param frame Its body must fit into `max_answer_frame`; cut larger pieces.
/// \return The frame's bytes.
std::string encode(const answer_frame& frame);

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ANSWER_FRAME_HPP
