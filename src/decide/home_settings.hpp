#ifndef BORAGEHILL_DECIDE_HOME_SETTINGS_HPP
#define BORAGEHILL_DECIDE_HOME_SETTINGS_HPP

#include <array>
#include <cstddef>
#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// The limits of a home's decisions; durations in milliseconds.
struct home_settings {
  /// Waiting requests over all targets, and for one.
  std::size_t queue_total = 8192;
  std::size_t queue_per_target = 2048;
  /// How long after it was given an attempt may still arrive at the agent.
  milliseconds permit_allowance{2000};
  /// A server whose last report is older gets no new work.
  milliseconds report_silence{2500};
  /// How long a server is left alone after a failed wake or call.
  milliseconds server_cooldown{3000};
  /// A wake that has not shown in a report by then is ordered again.
  milliseconds wake_confirm{3000};
  /// First guesses of load times by checkpoint tier, until seen.
  std::array<milliseconds, 3> load_time{milliseconds{3000}, milliseconds{20000},
                                        milliseconds{60000}};
  /// First guess of a request's run time, until seen.
  milliseconds run_time{1000};
  /// Remote loads at once at full speed, over the whole weight store.
  std::uint32_t parallel_loads = 4;
  /// Expected wait beyond which another granted replica is woken.
  milliseconds scale_out_wait{5000};
  /// How many waiting requests one pass looks at behind ones it cannot place.
  std::size_t scan_limit = 256;
  /// Decisions kept for `explain`, for each target.
  std::size_t notes_per_target = 64;

  bool operator==(const home_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HOME_SETTINGS_HPP
