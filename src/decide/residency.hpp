#ifndef BORAGEHILL_DECIDE_RESIDENCY_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include <boragehill/engine_order.hpp>
#include <boragehill/engine_state.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

#include "decide/eviction.hpp"
#include "decide/load_time_estimator.hpp"
#include "decide/memory_ledger.hpp"
#include "decide/residency_action.hpp"
#include "decide/residency_holding.hpp"
#include "decide/residency_load_request.hpp"
#include "decide/residency_settings.hpp"
#include "wire/replica_report.hpp"

namespace boragehill {
struct server_record;
}

namespace boragehill::decide {

/// Model name in the unload order that makes an engine learn a new fencing
/// number. No model has this name.
inline constexpr char fence_probe_name[] = "-fence-";

/// Tracks what one engine holds and chooses the next order for it.
///
/// A state machine without I/O: the caller passes in events and carries out
/// `take_actions()` after each one. At most one engine call (an order or a
/// state read) is in flight at a time, so that a state read is never older
/// than the response to an order.
///
/// No order is issued until this agent has taken a fencing number, the grants
/// and the engine's state have been read, and no order of an earlier agent
/// process can still arrive. Until then the loaded models are served as is.
class residency {
 public:
  /// \param settings Intervals and limits.
  /// \param started_at When this agent process started.
  residency(residency_settings settings, time_point started_at);

  /// This agent's fencing number was written to the table.
  void on_fence_taken(std::uint64_t fence, time_point now);

  /// Handles the response to `read_engine_state`.
  void on_engine_state(const engine_state& state, time_point now);

  /// The engine did not respond to `read_engine_state`.
  void on_engine_unresponsive(time_point now);

  /// Handles the response to `read_grants`.
  ///
  /// \param record This server's row.
  /// \param read_began When the read was sent.
  /// \param now The current time.
  void on_grants(const server_record& record, time_point read_began,
                 time_point now);

  /// This server's row may have changed; reads it again.
  void on_grants_hint(time_point now);

  /// Handles a home's request to load a model on demand.
  residency_load_outcome on_load_request(const residency_load_request& request,
                                         time_point now);

  /// A home wants a grant back: unloads the model and gives the grant up.
  void on_retire(const std::string& model, time_point now);

  /// Handles the response to an order; `error` is empty if it succeeded.
  void on_order_done(const engine_order& order, std::error_code error,
                     time_point now);

  /// Checks whether an attempt can run on a model now.
  ///
  /// \return ok, engine_down, no_grant or model_not_ready.
  result_code check_usable(const std::string& model,
                           const std::string& adapter) const;

  /// An attempt for which `check_usable` returned ok begins.
  void on_attempt_began(const std::string& model, const std::string& adapter,
                        time_point now);

  /// An attempt passed to `on_attempt_began` ended; called even if the engine
  /// restarted meanwhile.
  void on_attempt_ended(const std::string& model, const std::string& adapter,
                        time_point now);

  /// The connection of a running attempt to the engine broke: reads the
  /// engine's state at once.
  void on_engine_suspected(time_point now);

  /// Stops loading models.
  void drain() { this->draining = true; }

  /// Advances the time; call it several times a second.
  void tick(time_point now);

  /// Returns the pending actions and clears them.
  std::vector<residency_action> take_actions();

  /// Returns a report on every model that is granted or loaded.
  std::vector<wire::replica_report> replicas(time_point now) const;
  /// Returns the models whose grant was given up but may still be in the row,
  /// with the grant's serial.
  const std::map<std::string, std::uint64_t>& given_up() const {
    return this->given_up_serials;
  }
  /// Returns the bytes that a load on demand may free by evicting idle
  /// replicas.
  std::uint64_t evictable_bytes(time_point now) const;
  /// Returns the number of loaded models without a running attempt.
  std::uint32_t idle_replicas() const;
  /// Returns the memory reservations.
  const memory_ledger& ledger() const { return this->memory; }
  /// Returns the engine's state as last read.
  const engine_state& last_engine_state() const { return this->last_state; }
  /// Returns whether the engine responded to the last call.
  bool engine_up() const { return this->engine_responding; }
  /// Returns whether the grants last read allow a model.
  bool is_granted(const std::string& model) const;
  /// Returns whether it is unknown if the outstanding order was executed.
  bool is_order_outcome_unknown() const;
  /// Returns the tier from which a checkpoint would be loaded.
  checkpoint_tier tier_of(const std::string& name) const;

 private:
  enum class engine_call { none, reading, ordering };

  struct outstanding_order {
    engine_order order;
    time_point sent_at{};
    std::optional<time_point> unknown_since;
    bool engine_restarted = false;
  };

  struct next_order {
    order_kind kind;
    std::string name;
    order_reason reason;
  };

  // Event handling.
  void start_next_engine_call(time_point now);
  void request_grants_read();
  void settle_unknown_order(const engine_state& state, bool restarted,
                            time_point now);
  bool shows_order_done(const engine_state& state) const;
  bool shows_order_in_progress(const engine_state& state) const;
  bool is_unload_pending(const std::string& name) const;
  void adopt_engine_state(const engine_state& state, time_point now);
  void finish_order(bool done, time_point now);
  void finish_load(const engine_order& order, bool done, time_point now);
  void finish_unload(const engine_order& order, bool done, time_point now);
  void give_up_retired_grants(time_point now);
  void give_up_grant(const std::string& model, time_point now);
  void request_load(const std::string& name, std::uint64_t bytes,
                    milliseconds keep_warm, time_point now);
  void begin_use(const std::string& name, time_point now);
  void end_use(const std::string& name, time_point now);
  void forget_if_unused(const std::string& name);

  // Selection of the next order.
  bool may_order(time_point now) const;
  bool old_orders_expired(time_point now) const;
  std::optional<next_order> choose_order(time_point now) const;
  std::optional<next_order> choose_forced_unload() const;
  std::optional<next_order> choose_load(time_point now) const;
  std::optional<next_order> choose_idle_unload(time_point now) const;
  std::optional<next_order> next_order_towards_load(const std::string& name,
                                                    time_point now) const;
  std::vector<std::string> wanted_loads(time_point now) const;
  std::vector<eviction_candidate> eviction_candidates(const std::string& target,
                                                      time_point now) const;
  bool may_evict_base(const std::string& base, time_point now) const;
  std::string first_to_unload(const std::string& name) const;
  std::vector<std::string> adapters_of(const std::string& base) const;
  std::uint64_t bytes_with_adapters(const std::string& base) const;
  void issue_order(const next_order& next, time_point now);

  // Estimates.
  bool fits_after_evictions(const std::string& base, std::uint64_t bytes,
                            time_point now) const;
  milliseconds ready_in(const std::string& name, time_point now) const;
  wire::replica_report report_of(const std::string& base, time_point now) const;
  const residency_holding* find(const std::string& name) const;

  residency_settings settings;
  time_point started_at;
  std::uint64_t fence = 0;
  std::uint64_t sequence = 0;
  bool state_known = false;
  bool engine_responding = false;
  bool engine_fenced = false;
  bool superseded = false;
  bool draining = false;
  engine_state last_state;
  engine_call call = engine_call::none;
  time_point next_state_read{};
  /// No unload is issued before this time. Delays the retry of an unload that
  /// the engine refused.
  time_point unload_not_before{};
  std::optional<outstanding_order> outstanding;
  bool grants_known = false;
  bool grants_read_pending = false;
  bool grants_reread_needed = false;
  time_point next_grants_read{};
  time_point last_give_up_at = time_point::min();
  std::map<std::string, std::uint64_t> grants;
  /// Serials of the grants last read.
  std::map<std::string, std::uint64_t> grant_serials;
  /// Serials of given-up grants that the row may still contain.
  std::map<std::string, std::uint64_t> given_up_serials;
  std::map<std::string, residency_holding> holdings;
  memory_ledger memory;
  load_time_estimator load_time;
  std::vector<residency_action> actions;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_HPP
