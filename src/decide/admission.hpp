#ifndef BORAGEHILL_DECIDE_ADMISSION_HPP
#define BORAGEHILL_DECIDE_ADMISSION_HPP

#include <cstdint>
#include <optional>

#include <boragehill/attempt_id.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

#include "decide/attempt_registry.hpp"

namespace boragehill::decide {

/// An attempt that a router asks an agent to run.
struct attempt_offer {
  attempt_id id;
  /// The agent's fencing number as stated in the permit.
  std::uint64_t fence = 0;
  /// End of the permit on the agent's clock.
  time_point permit_end{};
  /// True if it must run with no other attempt in flight; see `admission`.
  bool exclusive = false;

  bool operator==(const attempt_offer&) const = default;
};

/// Decides at an agent which offered attempts run, and owns its slots.
///
/// A request that was in flight when a backend server crashed is offered as
/// exclusive. It runs with no other attempt in flight, so that another crash
/// identifies its cause, even if the attempts come from different homes. When
/// an exclusive attempt is rejected because others run although a slot is free,
/// only exclusive ones may start for `exclusive_reservation`.
class admission {
 public:
  explicit admission(attempt_registry_settings settings);

  /// Sets the fencing number of this incarnation. Offers with a different one
  /// are refused.
  void set_fencing_number(std::uint64_t fence) {
    this->own_fencing_number = fence;
  }
  /// Sets the maximum number of concurrent attempts.
  void set_slots(std::uint32_t slots) { this->slot_count = slots; }
  /// Refuses every offer from now on.
  void drain() { this->is_draining = true; }

  /// Decides on an offer and records it as running if it is admitted.
  ///
  /// \param offer The attempt.
  /// \param target ok if the model or service can run it now, else the reason.
  /// \param now The current time.
  /// \return ok, wrong_incarnation, draining, server_busy, the target's code or
  ///   a code of `attempt_registry::check`.
  admission_decision decide(const attempt_offer& offer, result_code target,
                            time_point now);

  /// Records the end of an admitted attempt; other ids are ignored.
  ///
  /// \param is_complete True if the backend server sent the complete response.
  void end(const attempt_id& id, bool is_complete);

  /// Returns the state of an attempt; `forgotten` if its offer has another
  /// incarnation's fencing number.
  attempt_state state_of(const attempt_offer& offer) const;

  /// Prevents an attempt that was not seen yet from running.
  ///
  /// \return Its state; `forgotten` if its offer has another incarnation's
  ///   fencing number.
  attempt_state tombstone(const attempt_offer& offer, time_point now);

  /// Removes the attempts that are past their retention time.
  void remove_expired(time_point now) { this->registry.remove_expired(now); }

  /// Returns the number of running attempts.
  std::uint32_t running() const { return this->running_count; }
  /// Returns the maximum number of concurrent attempts.
  std::uint32_t slots() const { return this->slot_count; }
  /// Returns true if every offer is refused.
  bool draining() const { return this->is_draining; }
  /// Returns the number of attempts in the registry.
  std::size_t known_attempts() const { return this->registry.size(); }

  /// How long only exclusive attempts may start after one of them reserved the
  /// server. Its router retries it well within this time.
  static constexpr milliseconds exclusive_reservation{1500};

 private:
  /// Returns whether the attempt may start now. An exclusive one reserves the
  /// server if a slot is free and only non-exclusive attempts prevent its
  /// start.
  bool try_start(const attempt_offer& offer, time_point now);

  attempt_registry registry;
  std::uint64_t own_fencing_number = 0;
  std::uint32_t slot_count = 0;
  std::uint32_t running_count = 0;
  bool is_draining = false;
  std::optional<attempt_id> exclusive_attempt;
  time_point reserved_until{};
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ADMISSION_HPP
