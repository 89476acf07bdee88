#ifndef BORAGEHILL_KERNEL_TEXT_ESCAPE_HPP
#define BORAGEHILL_KERNEL_TEXT_ESCAPE_HPP

#include <string>
#include <string_view>

namespace boragehill::kernel::detail {

/// Escapes quotes, backslashes and control characters as JSON does.
/// \return The text without surrounding quotes.
std::string escape_text(std::string_view text);

}  // namespace boragehill::kernel::detail

#endif  // BORAGEHILL_KERNEL_TEXT_ESCAPE_HPP
