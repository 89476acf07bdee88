#ifndef BORAGEHILL_DECIDE_STORE_PACING_HPP
#define BORAGEHILL_DECIDE_STORE_PACING_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/store_pacing_load.hpp"

namespace boragehill::decide {

/// Orders loads from the rate-limited weight store: a soft limit, since going
/// past it costs time only.
///
/// Loads whose deadline can still be met go first, by deadline; the others
/// follow, by deadline. Loads from memory or disk need no slot.
class store_pacing {
 public:
  explicit store_pacing(store_pacing_settings settings);

  /// Queues a load; asking again for the same server and model keeps the
  /// earlier of the two deadlines.
  ///
  /// \return False if the queue is full.
  bool ask(const paced_load& load);

  /// Returns the loads to order now, best first; remote ones take a slot.
  std::vector<paced_load> start(time_point now);

  /// Frees the slot of a load that ended, well or not; forgets it if it still
  /// waits.
  ///
  /// \param took The time it took; 0 for a load that failed.
  void finish(const std::string& server, const std::string& model,
              milliseconds took);

  /// Returns the expected wait until a remote load asked for now would start.
  ///
  /// \param deadline The deadline that its place in the queue follows from.
  milliseconds expected_wait(time_point deadline, time_point now) const;

  /// Returns the expected time of one remote load.
  milliseconds load_time() const;

  /// Returns the number of loads waiting.
  std::size_t waiting() const;

  /// Returns the number of slots taken.
  std::size_t running() const;

 private:
  using load_key = std::pair<std::string, std::string>;

  void take_back_lost_slots(time_point now);
  std::vector<paced_load> ordered(time_point now) const;

  store_pacing_settings settings;
  milliseconds measured;
  std::map<load_key, paced_load> queue;
  std::map<load_key, time_point> slots;
};

/// Returns the expected wait of the remote load at a queue position.
///
/// \param position Loads ahead of it, from 0.
/// \param left The time left of each load that runs, in any order.
/// \param parallel Loads at once.
/// \param load_time The expected time of one load.
milliseconds expected_start(std::size_t position,
                            std::vector<milliseconds> left,
                            std::uint32_t parallel, milliseconds load_time);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STORE_PACING_HPP
