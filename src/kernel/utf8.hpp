#ifndef BORAGEHILL_KERNEL_UTF8_HPP
#define BORAGEHILL_KERNEL_UTF8_HPP

#include <string_view>

namespace boragehill::kernel {

/// Returns whether a text is well-formed UTF-8 (RFC 3629): no overlong form, no
/// surrogate, nothing beyond U+10FFFF.
bool is_utf8(std::string_view text) noexcept;

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_UTF8_HPP
