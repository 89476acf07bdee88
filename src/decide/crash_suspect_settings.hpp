#ifndef BORAGEHILL_DECIDE_CRASH_SUSPECT_SETTINGS_HPP
#define BORAGEHILL_DECIDE_CRASH_SUSPECT_SETTINGS_HPP

#include <limits>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// How crashes are counted against suspects.
struct crash_suspect_settings {
  /// An interruption counts once the server is known to have ended. Else it
  /// counts at once, until the server responds after it.
  bool confirms_end = true;
  /// Routers are asked for complete responses with a suspect after its second
  /// crash, and have so long to tell of one.
  milliseconds hearing{300};
  /// They are asked after one crash, too, if it broke off so many runs.
  int runs_to_ask = std::numeric_limits<int>::max();
  /// A crash that a quarantined suspect explains is kept as weak evidence
  /// against the others that were in flight there, which may crash servers,
  /// too. Else it is counted for none of them.
  bool keeps_explained = false;

  bool operator==(const crash_suspect_settings&) const = default;
};

/// For parts of prompts: many sound requests share them, so a truncated
/// response must not count, and some are in flight at each crash that another
/// part explains.
constexpr crash_suspect_settings part_settings{};
/// For whole requests: few are alike, and nobody may ask a server without a
/// status check whether it has ended.
constexpr crash_suspect_settings request_settings{
    .confirms_end = false, .runs_to_ask = 2, .keeps_explained = true};
/// For what one router counts of whole requests: it knows its own responses.
constexpr crash_suspect_settings own_request_settings{
    .confirms_end = false,
    .hearing = milliseconds(0),
    .runs_to_ask = 2,
    .keeps_explained = true};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_SUSPECT_SETTINGS_HPP
