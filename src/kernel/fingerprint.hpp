#ifndef BORAGEHILL_KERNEL_FINGERPRINT_HPP
#define BORAGEHILL_KERNEL_FINGERPRINT_HPP

#include <initializer_list>
#include <string>
#include <string_view>

namespace boragehill::kernel {

/// \return A hash of texts in their order, as 32 hexadecimal digits. Texts that
///     only run together differently have different ones.
std::string fingerprint_of(std::initializer_list<std::string_view> parts);

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_FINGERPRINT_HPP
