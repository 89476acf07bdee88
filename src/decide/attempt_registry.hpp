#ifndef BORAGEHILL_DECIDE_ATTEMPT_REGISTRY_HPP
#define BORAGEHILL_DECIDE_ATTEMPT_REGISTRY_HPP

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

#include <boragehill/attempt_id.hpp>
#include <boragehill/ran_state.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

#include "wire/attempt_status.hpp"

namespace boragehill::decide {

/// What an agent knows about an attempt id.
using attempt_state = wire::attempt_status;

/// The decision whether an offered attempt may run.
struct admission_decision {
  /// ok if the attempt runs now.
  result_code code = result_code::ok;
  /// For a refusal: whether an attempt with this id ran, as far as is known.
  ran_state ran = ran_state::no;

  bool operator==(const admission_decision&) const = default;
};

/// Bounds of `attempt_registry`.
struct attempt_registry_settings {
  /// How long an attempt is kept, counted from the end of its permit.
  milliseconds retention{60000};
  std::size_t max_attempts = 65536;
  /// Attempts whose permit ends further in the future are refused.
  milliseconds max_permit_duration{600000};

  bool operator==(const attempt_registry_settings&) const = default;
};

/// Lets each attempt id run at most once and keeps the ended ones.
///
/// Each id that was seen and whose permit ends after `retention_horizon()` is
/// still stored. So an id that isn't stored never ran if its permit ends after
/// the horizon, and may have been evicted otherwise. The horizon is never in
/// the future, so no id is evicted while its permit still allows a run.
class attempt_registry {
 public:
  explicit attempt_registry(attempt_registry_settings settings);

  /// Returns whether an attempt may begin, without recording it.
  ///
  /// \return ok, attempt_seen, attempt_tombstoned, permit_ended, bad_header if
  ///   the permit ends too far in the future, or server_busy if the registry is
  ///   full of attempts that run or whose permits haven't ended.
  admission_decision check(const attempt_id& id, time_point permit_end,
                           time_point now) const;

  /// Records that an attempt runs from now on, if `check` allows it.
  admission_decision begin(const attempt_id& id, time_point permit_end,
                           time_point now);

  /// Records the end of a running attempt; other ids are ignored.
  ///
  /// \param is_complete True if the backend server sent the complete response.
  void end(const attempt_id& id, bool is_complete);

  /// Returns the state of an attempt. `never_ran` holds only at the moment of
  /// the call; `tombstone` makes it permanent.
  attempt_state state_of(const attempt_id& id, time_point permit_end) const;

  /// Prevents an attempt that was not seen yet from ever running.
  ///
  /// \return Its state; never_ran only if it can't run any more, and forgotten
  ///   also if the tombstone can't be stored.
  attempt_state tombstone(const attempt_id& id, time_point permit_end,
                          time_point now);

  /// Removes the ids that are past their retention time.
  void remove_expired(time_point now);

  /// Returns the permit end up to which ids may have been evicted.
  time_point retention_horizon() const { return this->evicted_until; }
  /// Returns the number of stored ids.
  std::size_t size() const { return this->entries.size(); }

 private:
  struct entry {
    attempt_state state = attempt_state::running;
    time_point permit_end{};
  };

  bool has_capacity(time_point now) const;
  void evict_if_full();
  void insert(const attempt_id& id, entry item);
  void evict_oldest();

  attempt_registry_settings settings;
  time_point evicted_until = time_point::min();
  std::unordered_map<attempt_id, entry> entries;
  /// Ids that aren't running, ordered by the end of their permits.
  std::set<std::pair<time_point, attempt_id>> not_running;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ATTEMPT_REGISTRY_HPP
