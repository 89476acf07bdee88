#ifndef BORAGEHILL_DECIDE_ATTEMPT_MEMORY_HPP
#define BORAGEHILL_DECIDE_ATTEMPT_MEMORY_HPP

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

/// What an agent knows of an attempt id.
using attempt_state = wire::attempt_status;

/// An answer to an offered attempt.
struct admission_verdict {
  /// ok if it is to run now.
  result_code code = result_code::ok;
  /// For a refusal: whether the attempt's id ran, as far as is known.
  ran_state ran = ran_state::no;

  bool operator==(const admission_verdict&) const = default;
};

/// How long and how many attempts are remembered.
struct attempt_memory_settings {
  /// Counted from the end of the attempt's permit.
  milliseconds retention{60000};
  std::size_t most = 65536;
  /// Permits that end further ahead are not believed.
  milliseconds longest_permit{600000};

  bool operator==(const attempt_memory_settings&) const = default;
};

/// Runs each attempt id at most once and remembers the ended ones.
///
/// Every id whose permit ends after `horizon()` and was ever seen is still in
/// the memory. So an id that is not there either never ran (its permit ends
/// after the horizon) or is forgotten. The horizon never passes the present,
/// thus no id can be forgotten while its permit still lets it run.
class attempt_memory {
 public:
  explicit attempt_memory(attempt_memory_settings settings);

  /// Looks whether an attempt may begin, changing nothing.
  ///
  /// \return ok, attempt_seen, attempt_tombstoned, permit_ended or server_busy
  ///   (the memory is full of attempts whose permits still run).
  admission_verdict check(const attempt_id& id, time_point permit_end,
                          time_point now) const;

  /// Notes that an attempt runs from now on, if `check` allows it.
  admission_verdict begin(const attempt_id& id, time_point permit_end,
                          time_point now);

  /// Notes the end of a running attempt; others are ignored.
  ///
  /// \param whole Whether the whole answer left the backend server.
  void end(const attempt_id& id, bool whole);

  /// Returns what is known, changing nothing. `never_ran` is only true of the
  /// moment; `tombstone` makes it last.
  attempt_state state_of(const attempt_id& id, time_point permit_end) const;

  /// Keeps an attempt not yet seen from ever running.
  ///
  /// \return What is known of it; never_ran only if it is tombstoned now.
  attempt_state tombstone(const attempt_id& id, time_point permit_end,
                          time_point now);

  /// Forgets what is older than the retention time.
  void tick(time_point now);

  /// Returns the permit end up to which ids may have been forgotten.
  time_point horizon() const { return this->forgotten_to; }
  /// Returns how many ids are remembered.
  std::size_t size() const { return this->entries.size(); }

 private:
  struct entry {
    attempt_state state = attempt_state::running;
    time_point permit_end{};
  };

  bool has_room(time_point now) const;
  void make_room();
  void insert(const attempt_id& id, entry item);
  void forget_oldest();

  attempt_memory_settings settings;
  time_point forgotten_to = time_point::min();
  std::unordered_map<attempt_id, entry> entries;
  /// Ids that do not run, by the end of their permits.
  std::set<std::pair<time_point, attempt_id>> at_rest;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ATTEMPT_MEMORY_HPP
