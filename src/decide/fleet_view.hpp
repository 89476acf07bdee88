#ifndef BORAGEHILL_DECIDE_FLEET_VIEW_HPP
#define BORAGEHILL_DECIDE_FLEET_VIEW_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decide/planned_worker.hpp"
#include "decide/worker_view.hpp"

namespace boragehill::decide {

/// What the planner tells the routers of all workers, prepared once for all
/// routers.
///
/// With a list of models built for each router and worker, a plan for a hundred
/// routers and two hundred workers took most of the processor time of the
/// planner's VM.
class fleet_view {
 public:
  /// \param queue_share Fraction of its slots by which a worker may be
  ///     overfilled.
  explicit fleet_view(double queue_share) : queue_share(queue_share) {}

  /// Takes the workers over as the last plan left them. A worker that had
  /// reported and that its agent can't reach any more holds nothing: routers
  /// that kept what they were told of it each sent requests to a crashed
  /// worker, until it was taken off the server list. \param granted Slots that
  /// routers were granted and have not confirmed, by
  ///     worker.
  void update(const std::map<std::string, planned_worker>& workers,
              const std::map<std::string, int>& granted);

  /// Forgets all workers, for a new term: none has reported to it yet.
  void clear() { this->known.clear(); }

  /// \return The workers that have reported, in the order of their ids.
  const std::vector<worker_view>& workers() const { return this->views; }

  /// \return One more than the largest index of a worker.
  std::size_t index_count() const { return this->next_index; }

 private:
  /// A worker's place in the tables of the routers, and its models as last
  /// seen.
  struct known_worker {
    std::size_t index = 0;
    std::uint64_t models_version = 0;
    std::vector<fleet::resident_model> models;
  };

  double queue_share;
  std::map<std::string, known_worker> known;
  std::size_t next_index = 0;
  std::uint64_t last_version = 0;
  std::vector<worker_view> views;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_FLEET_VIEW_HPP
