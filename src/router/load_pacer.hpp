#ifndef BORAGEHILL_ROUTER_LOAD_PACER_HPP
#define BORAGEHILL_ROUTER_LOAD_PACER_HPP

#include <mutex>
#include <set>
#include <string>
#include <utility>

#include <boragehill/time_point.hpp>

#include "decide/store_load_scheduler.hpp"
#include "wire/pace_answer.hpp"
#include "wire/pace_request.hpp"

namespace boragehill::router {

/// The target whose home paces the loads of its whole region.
inline constexpr const char* pacing_target = "pace:weight-store";

/// Paces remote loads for all homes that ask. Every router holds one; only
/// that of the pacing target's home is asked. When that moves, the new one
/// begins empty, and for one load's time the store may be shared by more
/// loads than run at full speed: that costs time, no promise. Thread safe.
class load_pacer {
 public:
  explicit load_pacer(decide::store_load_scheduler_settings settings)
      : pacing(settings) {}

  /// Answers a home; a request that a load ended frees its slot.
  wire::pace_answer ask(const wire::pace_request& request, time_point now);

  /// Returns the loads that hold a slot.
  std::size_t running() const;

 private:
  mutable std::mutex mutex;
  decide::store_load_scheduler pacing;
  /// Loads let go whose homes have not heard it yet.
  std::set<std::pair<std::string, std::string>> started;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_LOAD_PACER_HPP
