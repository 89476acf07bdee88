#ifndef BORAGEHILL_WIRE_RPC_FRAME_HPP
#define BORAGEHILL_WIRE_RPC_FRAME_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "wire/big_endian.hpp"

namespace boragehill::wire::detail {

/// Bytes of the length before a control frame's text.
inline constexpr std::size_t rpc_header_length = 4;

/// \return The text with its length before it.
inline std::string rpc_frame(std::string_view text) {
  std::string frame;
  frame.reserve(rpc_header_length + text.size());
  append_big_endian(frame, static_cast<std::uint32_t>(text.size()));
  return frame.append(text);
}

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_RPC_FRAME_HPP
