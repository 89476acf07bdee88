#ifndef BORAGEHILL_DECIDE_SLOT_ALLOCATOR_HPP
#define BORAGEHILL_DECIDE_SLOT_ALLOCATOR_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/demand_report.hpp"
#include "decide/planned_worker.hpp"
#include "decide/slot_allocator_settings.hpp"
#include "decide/slot_grant.hpp"

namespace boragehill::decide {

/// Divides the free slots of the workers among the routers with waiting
/// requests, in the planner.
///
/// Load pattern: a busy model has more requests than its replicas have slots,
/// and the rest wait, one or two in each of a hundred routers. Each time a slot
/// became free, every router saw it and sent what it had: a worker with 16
/// slots got 60 requests at once while the other replicas had free slots. With
/// a grant for each slot, one router uses it.
class slot_allocator {
 public:
  /// Grants by router.
  using grant_map = std::map<std::string, std::vector<slot_grant>>;

  explicit slot_allocator(const slot_allocator_settings& settings)
      : settings(settings) {}

  /// Records what a router has waiting, and drops the grants that its report
  /// confirms: their requests are among those in flight.
  void on_report(const std::string& router, const demand_report& report);

  void on_router_removed(const std::string& router);

  /// Forgets all routers and grants.
  void clear();

  /// Grants free slots to waiting requests: those that can still meet their
  /// latency objective first, the longest wait first among equals, each to the
  /// worker with the lowest utilization. Requests that are late get slots only,
  /// no places in a worker's queue.
  /// \param workers The workers with the requests in flight there.
  /// \param may_use Tells whether new requests may be sent to a worker.
  /// \return The new grants, all of the round `round()`.
  template <typename MayUse>
  grant_map grant(const std::map<std::string, planned_worker>& workers,
                  const MayUse& may_use, time_point now) {
    this->drop_expired(now);
    if (!this->has_waiting()) return {};
    std::vector<const planned_worker*> usable;
    for (const auto& [id, worker] : workers) {
      if (may_use(worker) && !this->seems_lost(worker))
        usable.push_back(&worker);
    }
    return this->grant_slots(usable, now);
  }

  /// \return The number of the last round; a router confirms it.
  std::uint64_t round() const { return this->last_round; }

  /// \return Unconfirmed slots by worker.
  const std::map<std::string, int>& unconfirmed() const {
    return this->unconfirmed_by_server;
  }

  /// \return Unconfirmed slots of the worker that the router was granted.
  int unconfirmed_of(const std::string& server,
                     const std::string& router) const;

 private:
  /// Waiting requests of one router for one model and adapter.
  struct need {
    std::string router;
    const model_demand* demand = nullptr;
    int missing = 0;
  };
  struct unconfirmed_grant {
    std::uint64_t round = 0;
    slot_grant slots;
    time_point granted_at;
  };
  /// A worker with its requests, granted ones included.
  struct candidate {
    const planned_worker* worker = nullptr;
    int requests = 0;
    int unconfirmed = 0;
  };

  bool has_waiting() const;
  /// \return True if a router doesn't reach the worker, and none has a request
  ///     there.
  ///
  /// A worker that has just crashed is the one with the lowest utilization for
  /// as long as its last report counts, and would get all grants.
  bool seems_lost(const planned_worker& worker) const;
  /// \return True if the router's connections to the worker failed lately.
  bool is_unreachable(const std::string& server,
                      const std::string& router) const;
  void drop_expired(time_point now);
  std::vector<need> list_needs(bool late) const;
  grant_map grant_slots(const std::vector<const planned_worker*>& workers,
                        time_point now);
  /// \return The candidate with the lowest utilization that has room for one
  ///     more request; null if none has.
  candidate* choose(std::vector<candidate>& candidates, const need& asked,
                    bool late) const;
  int unconfirmed_slots(const std::string& server) const;

  slot_allocator_settings settings;
  std::map<std::string, std::vector<model_demand>> waiting_by_router;
  std::map<std::string, std::vector<std::string>> unreachable_by_router;
  std::map<std::string, std::vector<unconfirmed_grant>> unconfirmed_by_router;
  std::map<std::string, int> unconfirmed_by_server;
  std::uint64_t last_round = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SLOT_ALLOCATOR_HPP
