#include "kernel/fingerprint.hpp"

#include <array>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace boragehill::kernel {

std::string fingerprint_of(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  for (const std::string_view part : parts) {
    const std::uint64_t size = part.size();
    XXH3_128bits_update(state.get(), &size, sizeof size);
    XXH3_128bits_update(state.get(), part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

}  // namespace boragehill::kernel
