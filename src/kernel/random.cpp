#include "kernel/random.hpp"

#include <random>
#include <string_view>

namespace boragehill::kernel {

namespace {

std::mt19937_64 make_generator() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device(),
                     device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

}  // namespace

std::uint64_t random_bits() {
  thread_local std::mt19937_64 generator = make_generator();
  return generator();
}

std::string random_hex(std::size_t digits) {
  constexpr std::string_view alphabet = "0123456789abcdef";
  constexpr std::size_t digits_per_draw = 16;
  std::string text;
  text.reserve(digits);
  std::uint64_t bits = 0;
  while (text.size() < digits) {
    if (text.size() % digits_per_draw == 0) bits = random_bits();
    text += alphabet[bits & 0xf];
    bits >>= 4;
  }
  return text;
}

}  // namespace boragehill::kernel
