#ifndef BORAGEHILL_DECIDE_QUARANTINE_AGES_HPP
#define BORAGEHILL_DECIDE_QUARANTINE_AGES_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// \param since When each suspect was quarantined, in milliseconds of a wall
///     clock. One of another VM may be ahead.
/// \param now_ms The same clock's.
/// \return How long each has been quarantined.
inline std::map<std::string, milliseconds> quarantine_ages(
    const std::map<std::string, std::int64_t>& since, std::int64_t now_ms) {
  std::map<std::string, milliseconds> ages;
  for (const auto& [suspect, at_ms] : since) {
    ages.emplace(suspect, std::max<std::int64_t>(now_ms - at_ms, 0));
  }
  return ages;
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUARANTINE_AGES_HPP
