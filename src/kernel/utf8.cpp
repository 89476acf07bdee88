#include "kernel/utf8.hpp"

#include <cstddef>
#include <cstdint>

namespace boragehill::kernel {

namespace {

/// The length of a sequence by its first byte; 0 for one that begins none.
std::size_t length_of(unsigned char first) noexcept {
  if (first < 0x80) return 1;
  if (first >= 0xc2 && first <= 0xdf) return 2;
  if (first >= 0xe0 && first <= 0xef) return 3;
  if (first >= 0xf0 && first <= 0xf4) return 4;
  return 0;
}

/// The least code point that needs a sequence of this length.
std::uint32_t least_of(std::size_t length) noexcept {
  if (length == 2) return 0x80;
  if (length == 3) return 0x800;
  return 0x10000;
}

bool is_sequence(std::string_view bytes) noexcept {
  const auto first = static_cast<unsigned char>(bytes[0]);
  std::uint32_t point = first & (0xffU >> (bytes.size() + 1));
  for (std::size_t i = 1; i < bytes.size(); ++i) {
    const auto next = static_cast<unsigned char>(bytes[i]);
    if ((next & 0xc0U) != 0x80U) return false;
    point = (point << 6U) | (next & 0x3fU);
  }
  if (point < least_of(bytes.size()) || point > 0x10ffff) return false;
  return point < 0xd800 || point > 0xdfff;
}

}  // namespace

bool is_utf8(std::string_view text) noexcept {
  while (!text.empty()) {
    const std::size_t length =
        length_of(static_cast<unsigned char>(text.front()));
    if (length == 0 || length > text.size()) return false;
    if (length > 1 && !is_sequence(text.substr(0, length))) return false;
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace boragehill::kernel
