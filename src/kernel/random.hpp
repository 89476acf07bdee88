#ifndef BORAGEHILL_KERNEL_RANDOM_HPP
#define BORAGEHILL_KERNEL_RANDOM_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace boragehill::kernel {

/// \return 64 random bits of the calling thread's generator, seeded from the
///     system; for names and jitter, not for secrets.
std::uint64_t random_bits();

/// \param digits The number of characters wanted.
/// \return Random lower-case hexadecimal digits.
std::string random_hex(std::size_t digits);

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_RANDOM_HPP
