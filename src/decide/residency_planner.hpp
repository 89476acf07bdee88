#ifndef BORAGEHILL_DECIDE_RESIDENCY_PLANNER_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_PLANNER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/aggregated_demand.hpp"
#include "decide/demand_report.hpp"
#include "decide/load_decision.hpp"
#include "decide/planned_worker.hpp"
#include "decide/planner_settings.hpp"
#include "decide/store_concurrency_limit.hpp"
#include "fleet/catalog.hpp"
#include "fleet/server_list.hpp"

namespace boragehill::decide {

/// Decides which worker holds which models and adapters, optimizing over all
/// workers at once.
///
/// Most requests go to a few models, and the set of these models changes within
/// seconds. The many others are each requested occasionally and about equally
/// often, and not all models fit into memory. So a requested model that is not
/// loaded anywhere is loaded on demand where it is ready soonest, evicting the
/// models with the lowest eviction cost in the fleet. A busy model gets a
/// further replica if that reduces the load of its current workers.
///
/// Its targets are advisory: a second planner, an outdated view or no planner
/// at all violate no guarantee, since the agent of each worker enforces the
/// memory limit and the sequence of its orders.
class residency_planner {
 public:
  explicit residency_planner(const planner_settings& settings)
      : settings(settings), store_limit(settings.initial_store_loads) {}

  void set_catalog(std::shared_ptr<const fleet::catalog> new_catalog);
  void set_servers(const fleet::server_list& list, time_point now);
  /// Starts planning as the new leader. Earlier reports are dropped because
  /// they may be outdated.
  void start(time_point now);
  void on_report(const std::string& server, const fleet::worker_report& report,
                 time_point now);
  /// Clears the state of a worker that its agent cannot reach: none of its
  /// models can serve requests.
  void on_worker_unreachable(const std::string& server);
  void on_demand_report(const std::string& router, const demand_report& report,
                        time_point now);
  void on_router_removed(const std::string& router);

  /// Tells which workers limit the rate of requests.
  void set_rate_limited_workers(
      const std::function<bool(const std::string&)>& is_rate_limited);

  /// Computes a new plan; the targets are in `workers()` afterwards.
  /// \return The loads that this step decided.
  std::vector<load_decision> step(time_point now);

  /// \return When each requested model that is not loaded on any worker is
  ///     expected to be ready, as of the last step.
  const std::map<std::string, time_point>& expected_ready_times() const {
    return this->ready_times;
  }

  /// \return The model workers by id.
  const std::map<std::string, planned_worker>& workers() const {
    return this->workers_by_id;
  }

 private:
  struct load_choice;
  /// Requests of all models and slots at the workers that serve a model.
  struct holder_load {
    int in_flight = 0;
    int slots = 0;
  };
  /// A load from the weight store that this step would like to start.
  struct wanted_store_load {
    const fleet::model* model = nullptr;
    const char* reason = "";
    /// Requests for the model within the window of 15 s over which arrivals
    /// count.
    double requests_in_window = 0;
  };

  /// Period over which eviction costs and replica gains are computed: about the
  /// time in which a missing model would be requested and loaded again on
  /// demand.
  static constexpr double horizon_seconds = 5;

  /// Wait of a request for a model above which rate-limited workers alone don't
  /// suffice; a token usually comes within some ten milliseconds.
  static constexpr milliseconds max_token_wait{250};

  void aggregate_reports(time_point now);
  void sum_holder_loads(time_point now);
  /// \return True if requests for the model wait and all of its replicas are at
  ///     workers that limit the rate of requests.
  bool needs_unlimited_replica(const std::string& model,
                               const aggregated_demand& demand) const;
  /// Marks workers from which no router receives anything as unresponsive.
  ///
  /// Otherwise a worker whose machine stalls for seconds stays in use as long
  /// as the last report of its agent counts (1.5 s), while its callers time out
  /// after 2 s. With the routers' reports its models are loaded elsewhere 0.3 s
  /// after it stopped responding.
  void update_unresponsive_workers(time_point now);
  /// Computes the eviction candidates of each worker of a service.
  void update_eviction_candidates(const fleet::service& service,
                                  time_point now);
  void update_eviction_candidates(planned_worker& worker,
                                  const fleet::service& service,
                                  time_point now);
  /// Recomputes the eviction candidates of the workers that hold models which
  /// were just evicted elsewhere, so that one step does not evict the last
  /// replica of a busy model.
  void update_eviction_candidates_of_holders(
      const std::vector<std::string>& evicted, time_point now);
  const fleet::model* find_model(const std::string& name) const;
  void update_pending_load(planned_worker& worker, time_point now);
  /// Starts loads of requested models that are not loaded on any worker, and
  /// collects the store loads that they need.
  /// \return The models for which no load was started.
  std::vector<const fleet::model*> load_waiting_models(
      const fleet::service& service, time_point now);
  /// Starts loads for streams that go on at one software version only, where no
  /// worker of that version has their model. The store is too slow for them.
  void load_bound_models(const fleet::service& service, time_point now);
  /// \return True if a worker of that software version serves the model or is
  ///     about to.
  bool has_replica(const std::string& model, const std::string& software,
                   time_point now) const;
  /// Starts the wanted store loads in the order of their request counts.
  ///
  /// After a restart of all routers and workers the first requests may be for
  /// rare models without a local copy. Their loads occupied the store for 15 s,
  /// and the busiest model, requested 100 times per second, stayed at one
  /// replica for the rest of the run.
  void start_store_loads(const fleet::service& service, time_point now);
  /// Estimates when models that wait for a free worker will be ready.
  void estimate_delayed_loads(
      const fleet::service& service,
      const std::vector<const fleet::model*>& not_started, time_point now);
  void scale_out_busy_models(const fleet::service& service, time_point now);
  /// Adds a replica of a busy model.
  void scale_out(const fleet::service& service, const fleet::model& model,
                 double requests_per_replica, time_point now);
  /// \return Requests in flight and waiting per replica; 0 without a replica.
  double requests_per_replica(const std::string& model) const;
  /// \return True if a further replica would shorten waits: the model has many
  ///     requests per replica, or its share of workers that are more than half
  ///     full is considerable.
  bool is_busy(const std::string& model) const;
  /// \return Requests that wait in the routers or, beyond the slots, at the
  ///     workers that hold the model.
  double excess_requests(const std::string& model) const;
  /// \return True if requests for a loaded model exceed the capacity of its
  ///     replicas and no store load for it is running.
  ///
  /// Many routers that each send a little fill the queues of the workers, and
  /// hardly a request waits in a router.
  bool is_starved(const std::string& model) const;
  /// Loads the models with the highest replica gain into free memory.
  ///
  /// After a release, the loss of a failure domain or a crash, workers come
  /// back empty. Without this, requested models were loaded one after the other
  /// on the few old workers while the new ones stayed idle: they had no copies,
  /// so a load there was always slower than the next one from the disk of an
  /// old worker.
  void preload_free_memory(const fleet::service& service, time_point now);
  /// Loads models without a local copy on any worker from the store before they
  /// are requested, while no request needs the store.
  ///
  /// Half of the models fit on the workers at the start, and the others are
  /// requested occasionally. The first request for each of them waited 9 s for
  /// the store, where a disk takes 2 s and callers time out after 4 s.
  void prefetch_missing_copies(const fleet::service& service, time_point now);
  /// \return The most requested model without a local copy; null if every model
  ///     has a copy or is being loaded.
  const fleet::model* most_requested_without_copy(const fleet::service& service,
                                                  time_point now) const;
  /// \return An idle worker that can load the model by evicting idle models
  ///     only.
  std::optional<load_choice> find_idle_worker(const fleet::service& service,
                                              const fleet::model& model,
                                              time_point now) const;
  /// \return Idle workers with enough free memory for the smallest model.
  std::vector<const planned_worker*> workers_with_free_memory(
      const fleet::service& service, time_point now) const;
  /// \return The model with the highest replica gain that fits into the free
  ///     memory of the worker.
  std::optional<load_choice> choose_preload(const planned_worker& worker,
                                            const fleet::service& service,
                                            time_point now) const;
  /// \return Waiting time in seconds, summed over all expected requests, that
  ///     one more replica saves.
  double replica_gain_seconds(const fleet::model& model, time_point now) const;
  void collect_local_copies();
  bool may_preload_from_store() const;
  void place_adapters(const fleet::service& service, time_point now);
  /// \param software The software version of the worker; empty for any.
  void place_adapter(const fleet::service& service, const std::string& model,
                     const std::string& adapter, const std::string& software,
                     time_point now);
  /// \param software The software version of the worker, which then needs a
  ///     local copy; empty for any.
  std::optional<load_choice> choose_worker(const fleet::service& service,
                                           const fleet::model& model,
                                           double max_in_flight, time_point now,
                                           const std::string& software = {});
  std::optional<load_choice> evaluate_worker(const fleet::model& model,
                                             const std::string& id,
                                             const planned_worker& worker,
                                             bool may_use_store,
                                             time_point now) const;
  /// \return Requests per remaining replica up to which the eviction of a
  ///     replica costs nothing.
  double kept_requests(const planned_worker& worker) const;
  double eviction_cost_seconds(const planned_worker& worker,
                               const std::string& model, time_point now) const;
  void start_load(const load_choice& chosen, const char* reason,
                  time_point now);
  bool is_responsive(const planned_worker& worker, time_point now) const;
  /// \return Responsive workers that serve the model or are about to. A crashed
  ///     worker stays in the server list for seconds; counting its models would
  ///     allow the last live replica to be evicted.
  int replica_count(const std::string& model) const;
  bool may_start_load(const planned_worker& worker,
                      const fleet::service& service, time_point now) const;
  int active_store_loads() const;
  /// Records how many store loads run concurrently, and handles overdue ones.
  void observe_store_loads(time_point now);
  void on_store_load_finished(planned_load& load, time_point now);
  /// Extends the due time of an overdue load from the store. Beyond the
  /// tolerance for reporting delays, the load may also lower the limit.
  void on_store_load_overdue(planned_load& load, time_point now);
  /// \return When the store can start further loads, one entry per load slot,
  ///     in ascending order.
  std::vector<time_point> store_slot_free_times(time_point now) const;
  /// \return True while a worker that may have a local copy has not reported
  ///     yet.
  bool is_awaiting_first_reports(const fleet::service& service,
                                 time_point now) const;

  planner_settings settings;
  std::shared_ptr<const fleet::catalog> catalog;
  std::map<std::string, planned_worker> workers_by_id;
  std::map<std::string, demand_report> demand_by_router;
  std::unordered_map<std::string, const fleet::model*> models_by_name;
  std::map<std::string, aggregated_demand> demand_by_model;
  /// Models that requests wait for at one software version only, each with the
  /// adapter and that version, in this step.
  std::set<std::tuple<std::string, std::string, std::string>> bound_models;
  /// Number of workers that serve each model or are about to, the models that
  /// at least one worker serves now, and the load of the workers by model. All
  /// are valid for one step.
  std::unordered_map<std::string, int> replica_counts;
  std::unordered_map<std::string, bool> loaded_models;
  std::unordered_map<std::string, holder_load> holder_loads;
  time_point started_at;
  std::vector<load_decision> decided_loads;
  std::map<std::string, time_point> ready_times;
  /// Total load time queued for each busy worker in this step.
  std::map<std::string, milliseconds> queued_load_time;
  /// Models with a local copy on a worker that is not draining, in this step.
  std::unordered_set<std::string> models_with_copy;
  std::vector<wanted_store_load> wanted_store_loads;
  store_concurrency_limit store_limit;
  time_point store_observed_at;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_PLANNER_HPP
