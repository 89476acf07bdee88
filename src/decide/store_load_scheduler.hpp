#ifndef BORAGEHILL_DECIDE_STORE_LOAD_SCHEDULER_HPP
#define BORAGEHILL_DECIDE_STORE_LOAD_SCHEDULER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/queued_load.hpp"

namespace boragehill::decide {

/// Queues model loads and limits how many read from the weight store at once.
/// The limit is soft: exceeding it only slows the loads down.
///
/// Loads that can still meet their deadline start first, then the others, both
/// by earliest deadline. Loads from memory or disk need no slot.
class store_load_scheduler {
 public:
  explicit store_load_scheduler(store_load_scheduler_settings settings);

  /// Queues a load. If the same server and model are queued already, the
  /// earlier of the two deadlines is kept. A load that holds a slot is not
  /// queued again.
  ///
  /// \return False if the queue is full.
  bool enqueue(const queued_load& load);

  /// Removes from the queue the loads that may start now and returns them in
  /// order of precedence. Each remote load takes a slot.
  std::vector<queued_load> start_ready(time_point now);

  /// Frees the slot of a load that completed or failed, or removes the load
  /// from the queue.
  ///
  /// \param duration How long it took; 0 if it failed.
  void finish(const std::string& server, const std::string& model,
              milliseconds duration);

  /// Returns the expected wait until a remote load queued now would start.
  ///
  /// \param deadline The load's deadline, which determines its queue position.
  milliseconds expected_wait(time_point deadline, time_point now) const;

  /// Returns the expected duration of one remote load.
  milliseconds load_time() const;

  /// Returns the number of queued loads.
  std::size_t waiting() const;

  /// Returns the number of slots in use.
  std::size_t running() const;

 private:
  using load_key = std::pair<std::string, std::string>;

  void release_expired_slots(time_point now);
  std::vector<queued_load> sorted_queue(time_point now) const;

  store_load_scheduler_settings settings;
  milliseconds mean_load_time;
  std::map<load_key, queued_load> queue;
  std::map<load_key, time_point> slots;
};

/// Returns the expected wait of the remote load at a queue position.
///
/// \param position Number of loads ahead of it.
/// \param remaining Remaining time of each running load, in any order.
/// \param max_parallel Maximum number of concurrent loads.
/// \param load_time Expected duration of one load.
milliseconds expected_start(std::size_t position,
                            std::vector<milliseconds> remaining,
                            std::uint32_t max_parallel, milliseconds load_time);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STORE_LOAD_SCHEDULER_HPP
