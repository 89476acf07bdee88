#ifndef BORAGEHILL_WIRE_UTF8_HPP
#define BORAGEHILL_WIRE_UTF8_HPP

#include <string_view>

namespace boragehill::wire {

/// Returns whether a text is well-formed UTF-8 (RFC 3629): no overlong form, no
/// surrogate, nothing beyond U+10FFFF.
bool is_utf8(std::string_view text) noexcept;

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_UTF8_HPP
