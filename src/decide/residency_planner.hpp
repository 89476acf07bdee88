#ifndef BORAGEHILL_DECIDE_RESIDENCY_PLANNER_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_PLANNER_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/demand_report.hpp"
#include "decide/model_state.hpp"
#include "decide/planned_worker.hpp"
#include "decide/planner_settings.hpp"
#include "decide/residency_move.hpp"
#include "decide/store_pace.hpp"
#include "fleet/catalog.hpp"
#include "fleet/server_list.hpp"

namespace boragehill::decide {

/// Decides which worker holds which models and adapters, for all workers as
/// one problem.
///
/// The load it answers: a few models get most requests, and which these are
/// moves within seconds; the many others are asked for now and then, each
/// about as often, and all of them together don't fit. So a model that is
/// asked for and stands nowhere is woken where that is soonest, in the place
/// of what is missed least over the whole fleet, and a busy model gets a
/// further replica while that relieves those that have it.
///
/// It is soft: a second planner, an old view or none at all break no promise,
/// since each worker's own agent keeps its memory and the order of its orders.
class residency_planner {
 public:
  explicit residency_planner(const planner_settings& settings)
      : settings(settings), pace(settings.store_loads) {}

  void set_catalog(std::shared_ptr<const fleet::catalog> news);
  void set_servers(const fleet::server_list& list, time_point now);
  /// The planner takes up its work: what it knew may be old.
  void begin(time_point now);
  void on_report(const std::string& server, const fleet::worker_report& report,
                 time_point now);
  /// The worker doesn't answer its agent: what it held serves nobody.
  void on_unreachable(const std::string& server);
  void on_demand(const std::string& router, const demand_report& report,
                 time_point now);
  void on_router_gone(const std::string& router);

  /// Plans anew; the targets are in `workers()` afterwards.
  /// \return The loads that were decided now.
  std::vector<residency_move> step(time_point now);

  /// \return When models that are asked for and stand nowhere will be on a
  ///     worker, as of the last step.
  const std::map<std::string, time_point>& expected() const {
    return this->expectations;
  }

  /// \return The model workers by id.
  const std::map<std::string, planned_worker>& workers() const {
    return this->known;
  }

 private:
  struct choice;
  /// A load from the store that is wanted in this step.
  struct store_wish {
    const fleet::model* model = nullptr;
    const char* why = "";
    /// Requests that lack it, over the while for which arrivals count.
    double requests = 0;
  };

  /// Losses and gains are reckoned over the time in which a model that isn't
  /// there would be asked for and come back by itself.
  static constexpr double horizon_seconds = 5;

  void sum_up(time_point now);
  /// Takes out of use the workers of which no router hears anything.
  ///
  /// The load it answers: a worker's machine stands still for seconds, and its
  /// callers leave after two. Its agent's reports count for 1.5 s; with what
  /// the routers hear, its models are woken elsewhere 0.3 s after it fell
  /// silent.
  void judge_silence(time_point now);
  /// Reckons what each worker of a service could drop.
  void appraise(const fleet::service& service, time_point now);
  void appraise(planned_worker& worker, const fleet::service& service,
                time_point now);
  /// Reckons anew where models stand that were dropped elsewhere just now: the
  /// last replica of a busy one must not go in the same step.
  void appraise_holders(const std::vector<std::string>& dropped,
                        time_point now);
  const fleet::model* model_of(const std::string& name) const;
  void settle_pending(planned_worker& worker, time_point now);
  /// \return Models that are asked for and can't be woken now.
  std::vector<const fleet::model*> wake_waiting(const fleet::service& service,
                                                time_point now);
  /// Gives the store's places to the models that are asked for most.
  ///
  /// The load it answers: all routers and workers restart at once, and the
  /// first requests to come are for rare models without any copy. They took the
  /// store for the next quarter of a minute, while the busiest model, asked for
  /// a hundred times a second, had one replica for the rest of the day.
  void load_from_store(const fleet::service& service, time_point now);
  /// Reckons when models will be there that wait for a worker to be free.
  void expect_later(const fleet::service& service,
                    const std::vector<const fleet::model*>& unplaced,
                    time_point now);
  void relieve_busy(const fleet::service& service, time_point now);
  /// \param each Requests for each replica.
  void relieve(const fleet::service& service, const fleet::model& model,
               double each, time_point now);
  /// \return True if requests for a model that stands somewhere find no room,
  ///     and no load from the store is on its way for them.
  bool starves(const std::string& model, const model_state& state) const;
  /// Loads what is missed most into places that are free.
  ///
  /// The load it answers: a release or a failure domain's loss replaces workers
  /// by empty ones, or crashed ones come back with nothing loaded. Asked-for
  /// models went on to share the few old workers, one load after the other,
  /// while the new ones stood idle: they had no copy, and a load there was
  /// always slower than the next one on an old worker's disk.
  void stock_free_places(const fleet::service& service, time_point now);
  /// Brings models without any copy near from the store before they are asked
  /// for, while it has nothing else to do.
  ///
  /// The load it answers: half of the models fit on the workers at the start,
  /// the others are asked for once in a while. The first request for each
  /// waited for the store, nine seconds where a disk takes two and its caller
  /// bears four.
  void fetch_ahead(const fleet::service& service, time_point now);
  /// \return The model without a copy that is asked for most; null if each has
  ///     one, or will.
  const fleet::model* most_wanted_without_copy(const fleet::service& service,
                                               time_point now) const;
  /// \return A worker that can take the model without a loss to speak of.
  std::optional<choice> idle_place_for(const fleet::service& service,
                                       const fleet::model& model,
                                       time_point now) const;
  /// \return Workers with nothing to do and room for a model.
  std::vector<const planned_worker*> workers_with_room(
      const fleet::service& service, time_point now) const;
  /// \return The model that is missed most of those that fit on a worker.
  std::optional<choice> most_missed(const planned_worker& worker,
                                    const fleet::service& service,
                                    time_point now) const;
  /// \return Seconds of waiting, over all requests to come, that one more
  ///     replica saves.
  double gain_of_placing(const fleet::model& model, time_point now) const;
  void count_copies();
  bool may_stock_from_store() const;
  void place_adapters(const fleet::service& service, time_point now);
  void place_adapter(const fleet::service& service, const std::string& model,
                     const std::string& adapter, time_point now);
  std::optional<choice> choose_worker(const fleet::service& service,
                                      const fleet::model& model,
                                      double most_requests, time_point now);
  std::optional<choice> consider(const fleet::model& model,
                                 const std::string& id,
                                 const planned_worker& worker, bool may_load,
                                 time_point now) const;
  double cost_of_losing(const planned_worker& worker, const std::string& model,
                        time_point now) const;
  void carry_out(const choice& chosen, const char* why, time_point now);
  bool fresh(const planned_worker& worker, time_point now) const;
  /// \return Fresh workers that serve the model or soon will. A worker that
  ///     crashed stays listed for seconds; what it held serves nobody, and
  ///     counting it would let the last living replica be dropped.
  int replicas_of(const std::string& model) const;
  bool usable(const planned_worker& worker, const fleet::service& service,
              time_point now) const;
  int store_loads() const;
  /// Learns from the loads under way how many the store serves.
  void watch_store(time_point now);
  /// A load from the store is done.
  void watch_load(planned_load& load, time_point now);
  /// A load from the store should be done and isn't.
  void watch_overdue(planned_load& load, time_point now);
  /// \return When the store can begin one more load, for each load that it
  ///     serves at once, the soonest first.
  std::vector<time_point> store_free_at(time_point now) const;
  /// \return True while a worker that may have a copy hasn't reported yet.
  bool acquainting(const fleet::service& service, time_point now) const;

  planner_settings settings;
  std::shared_ptr<const fleet::catalog> catalog;
  std::map<std::string, planned_worker> known;
  std::map<std::string, demand_report> routers;
  std::unordered_map<std::string, const fleet::model*> specs;
  std::map<std::string, model_state> models;
  /// By model, in this step: workers that serve it or soon will, and whether
  /// one serves it now.
  std::unordered_map<std::string, int> replicas;
  std::unordered_map<std::string, bool> served;
  time_point began;
  std::vector<residency_move> moves;
  std::map<std::string, time_point> expectations;
  /// Loading time of models that wait for a busy worker, in this step.
  std::map<std::string, milliseconds> claimed;
  /// Models with a copy at hand on some worker that stays, in this step.
  std::unordered_set<std::string> copies;
  std::vector<store_wish> from_store;
  store_pace pace;
  time_point store_watched;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_PLANNER_HPP
