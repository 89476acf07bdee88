#ifndef BORAGEHILL_FLEET_STORE_STATISTICS_HPP
#define BORAGEHILL_FLEET_STORE_STATISTICS_HPP

#include <cstdint>
#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::fleet {

/// What a process has read from the platform's store.
struct store_statistics {
  /// Bytes of responses, also of those that were given up.
  std::uint64_t bytes_read = 0;
  /// Time since a response that showed the configuration in force to be the
  /// newest; nothing before the first one.
  std::optional<milliseconds> catalog_age;

  bool operator==(const store_statistics&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_STORE_STATISTICS_HPP
