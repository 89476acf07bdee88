#ifndef BORAGEHILL_BENCH_POLICY_UNITS_HPP
#define BORAGEHILL_BENCH_POLICY_UNITS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::bench {

/// What one replica takes: a whole accelerator, in bytes.
inline constexpr std::uint64_t replica_bytes = 80'000'000'000;

/// Returns a virtual time as the decisions take it.
inline time_point to_point(milliseconds since_start) {
  return time_point{} + since_start;
}

/// Returns the name of a model or worker by its number.
inline std::string numbered_name(std::size_t number) {
  return "n" + std::to_string(number);
}

/// Returns the number in a name that `numbered_name` made.
inline std::size_t number_of(const std::string& name) {
  return std::stoul(name.substr(1));
}

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_POLICY_UNITS_HPP
