#ifndef BORAGEHILL_WIRE_BIG_ENDIAN_HPP
#define BORAGEHILL_WIRE_BIG_ENDIAN_HPP

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>

namespace boragehill::wire::detail {

/// Appends an integer, most significant byte first.
template <std::unsigned_integral Integer>
void append_big_endian(std::string& out, Integer value) {
  for (std::size_t left = sizeof(Integer); left > 0; --left) {
    out += static_cast<char>((value >> (8 * (left - 1))) & 0xff);
  }
}

/// \param bytes At least as many bytes as the integer has.
/// \return The integer at the start, most significant byte first.
template <std::unsigned_integral Integer>
Integer read_big_endian(std::string_view bytes) {
  Integer value = 0;
  for (const char byte : bytes.substr(0, sizeof(Integer))) {
    value = static_cast<Integer>(value << 8) | static_cast<unsigned char>(byte);
  }
  return value;
}

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_BIG_ENDIAN_HPP
