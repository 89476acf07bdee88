#ifndef BORAGEHILL_DECIDE_HOME_SETTINGS_HPP
#define BORAGEHILL_DECIDE_HOME_SETTINGS_HPP

#include <array>
#include <cstddef>
#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Settings of `home`.
struct home_settings {
  /// Maximum number of waiting requests: of all targets, and of one.
  std::size_t queue_total = 8192;
  std::size_t queue_per_target = 2048;
  /// How long after its issue a permit is accepted by the agent.
  milliseconds permit_allowance{2000};
  /// A server whose last report is older than this gets no new requests.
  milliseconds report_timeout{2500};
  /// How long a server gets no new requests after a failed load order or call.
  milliseconds server_cooldown{3000};
  /// A load is ordered again if no report shows it this long after it was
  /// expected to be ready. Also the minimum time before the same number of
  /// grants, or fewer, is requested again.
  milliseconds load_confirm_timeout{3000};
  /// Load times by checkpoint tier (memory, disk, remote) that are assumed
  /// until one is measured.
  std::array<milliseconds, 3> initial_load_time{
      milliseconds{3000}, milliseconds{20000}, milliseconds{60000}};
  /// Run time of a request that is assumed until one is measured.
  milliseconds initial_run_time{1000};
  /// Number of concurrent loads that the weight store serves at full speed, for
  /// all homes together.
  std::uint32_t max_parallel_loads = 4;
  /// Expected wait beyond which a further replica is loaded.
  milliseconds scale_out_wait{5000};
  /// Maximum number of requests that one pass over a queue skips because no
  /// server can run them now.
  std::size_t scan_limit = 256;
  /// Number of decisions kept for `explain`, for each target.
  std::size_t notes_per_target = 64;

  bool operator==(const home_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HOME_SETTINGS_HPP
