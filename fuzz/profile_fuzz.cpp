// A profile that an operator sends, of any content: problems, never a crash.

#include <cstdint>
#include <string>

#include "router/profile_toml.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)boragehill::router::read_profile(text, "fuzz");
  return 0;
}
