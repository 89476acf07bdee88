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
#include "decide/memory_ledger.hpp"
#include "decide/residency_action.hpp"
#include "decide/residency_holding.hpp"
#include "decide/residency_load_time.hpp"
#include "decide/residency_settings.hpp"
#include "decide/residency_wake.hpp"
#include "wire/replica_report.hpp"

namespace boragehill {
struct server_record;
}

namespace boragehill::decide {

/// The name in the order that carries a new fencing number to an engine; no
/// model has it.
inline constexpr char fence_probe_name[] = "-fence-";

/// What one engine holds, and the single order that goes to it next.
///
/// A state machine without I/O: its shell feeds the inputs, and after each
/// one carries out `take_actions()`. At most one engine call (an order or a
/// reading of the state) is under way at a time, so a state that was read is
/// never older than an order's answer.
///
/// No order goes out before the own fencing number was taken, the grants and
/// the engine's state were read, and no order of an earlier start can arrive
/// any more. Until then the engine's models are served as they are.
class residency {
 public:
  /// \param settings The limits.
  /// \param started When this agent started.
  residency(residency_settings settings, time_point started);

  /// The fencing number of this start stands in the table.
  void on_fence_taken(std::uint64_t fence, time_point now);

  /// The engine's state, as `read_engine_state` asked.
  void on_engine_state(const engine_state& state, time_point now);

  /// The engine did not answer `read_engine_state`.
  void on_engine_lost(time_point now);

  /// The own row, as `read_grants` asked.
  ///
  /// \param record The row.
  /// \param read_began When the reading was sent off.
  /// \param now The time.
  void on_grants(const server_record& record, time_point read_began,
                 time_point now);

  /// Someone says that the row changed.
  void on_grants_hint(time_point now);

  /// A home asks for a model.
  residency_wake_outcome on_wake(const residency_wake& wake, time_point now);

  /// A home asks for a grant back.
  void on_retire(const std::string& model, time_point now);

  /// An order's answer; `error` is empty if it was carried out.
  void on_order_done(const engine_order& order, std::error_code error,
                     time_point now);

  /// Returns whether an attempt can run on a model now, changing nothing: ok,
  /// engine_down, no_grant or model_not_ready.
  result_code usable(const std::string& model,
                     const std::string& adapter) const;

  /// An attempt for which `usable` said ok begins.
  void on_use_began(const std::string& model, const std::string& adapter,
                    time_point now);

  /// That attempt has ended, whatever became of the engine meanwhile.
  void on_use_ended(const std::string& model, const std::string& adapter,
                    time_point now);

  /// A running attempt's connection to the engine broke: look at once.
  void on_engine_suspected(time_point now);

  /// Loads nothing more.
  void drain() { this->draining = true; }

  /// Time passes; to be called several times a second.
  void tick(time_point now);

  /// Returns what the shell is to do, once.
  std::vector<residency_action> take_actions();

  /// Returns every granted or held model, for reports.
  std::vector<wire::replica_report> replicas(time_point now) const;
  /// Returns the models given back whose grant may still stand in the row.
  const std::map<std::string, std::uint64_t>& given_up() const {
    return this->given_back;
  }
  /// Returns the memory that idle replicas hold and a wake may take.
  std::uint64_t evictable_bytes(time_point now) const;
  /// Returns how many models are loaded with nothing running on them.
  std::uint32_t idle_replicas() const;
  /// Returns the reservations.
  const memory_ledger& ledger() const { return this->memory; }
  /// Returns the engine's last account of itself.
  const engine_state& engine() const { return this->last_state; }
  /// Returns whether the engine answered last time.
  bool engine_up() const { return this->up; }
  /// Returns whether a model may be held under the grants last read.
  bool granted(const std::string& model) const;
  /// Returns whether an order's outcome is not known.
  bool order_unknown() const;
  /// Returns where a checkpoint would be loaded from.
  checkpoint_tier tier_of(const std::string& name) const;

 private:
  enum class engine_call { none, reading, ordering };

  struct outstanding_order {
    engine_order order;
    time_point sent{};
    std::optional<time_point> unknown_since;
    bool engine_restarted = false;
  };

  struct next_order {
    order_kind kind;
    std::string name;
    order_reason reason;
  };

  // Inputs.
  void proceed(time_point now);
  void request_grants();
  void settle(const engine_state& state, bool restarted, time_point now);
  bool settled_as_done(const engine_state& state) const;
  bool still_working(const engine_state& state) const;
  bool unload_pending(const std::string& name) const;
  void adopt(const engine_state& state, time_point now);
  void finish_order(bool done, time_point now);
  void finish_load(const engine_order& order, bool done, time_point now);
  void finish_unload(const engine_order& order, bool done, time_point now);
  void give_up_retired(time_point now);
  void give_up(const std::string& model, time_point now);
  void want(const std::string& name, std::uint64_t bytes, milliseconds keep,
            time_point now);
  void use(const std::string& name, time_point now);
  void end_use(const std::string& name, time_point now);
  void forget_if_unused(const std::string& name);

  // Choice of the next order.
  bool may_order(time_point now) const;
  bool old_orders_gone(time_point now) const;
  std::optional<next_order> choose_order(time_point now) const;
  std::optional<next_order> choose_forced_unload() const;
  std::optional<next_order> choose_load(time_point now) const;
  std::optional<next_order> choose_idle_unload(time_point now) const;
  std::optional<next_order> order_for(const std::string& name,
                                      time_point now) const;
  std::vector<std::string> wanted_names(time_point now) const;
  std::vector<eviction_candidate> victims(const std::string& target,
                                          time_point now) const;
  bool may_evict_base(const std::string& base, time_point now) const;
  std::string unload_step(const std::string& name) const;
  std::vector<std::string> adapters_of(const std::string& base) const;
  std::uint64_t bytes_with_adapters(const std::string& base) const;
  void send(const next_order& next, time_point now);

  // Estimates.
  bool fits_in_time(const std::string& base, std::uint64_t bytes,
                    time_point now) const;
  milliseconds ready_in(const std::string& name, time_point now) const;
  wire::replica_report report_of(const std::string& base, time_point now) const;
  const residency_holding* find(const std::string& name) const;

  residency_settings settings;
  time_point started;
  std::uint64_t fence = 0;
  std::uint64_t sequence = 0;
  bool state_known = false;
  bool up = false;
  bool engine_fenced = false;
  bool overtaken = false;
  bool draining = false;
  engine_state last_state;
  engine_call call = engine_call::none;
  time_point next_state_read{};
  /// Holds back the repetition of an unload that the engine refused.
  time_point next_unload{};
  std::optional<outstanding_order> outstanding;
  bool grants_known = false;
  bool grants_asked = false;
  bool grants_hinted = false;
  time_point next_grants_read{};
  time_point last_give_up = time_point::min();
  std::map<std::string, std::uint64_t> grants;
  /// Serials of the grants last read, and of those given up since.
  std::map<std::string, std::uint64_t> serials;
  std::map<std::string, std::uint64_t> given_back;
  std::map<std::string, residency_holding> holdings;
  memory_ledger memory;
  residency_load_time load_time;
  std::vector<residency_action> actions;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_HPP
