#ifndef BORAGEHILL_DECIDE_ADMISSION_HPP
#define BORAGEHILL_DECIDE_ADMISSION_HPP

#include <cstdint>
#include <optional>

#include <boragehill/attempt_id.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

#include "decide/attempt_memory.hpp"

namespace boragehill::decide {

/// An attempt that a router asks an agent to run.
struct attempt_offer {
  attempt_id id;
  /// The agent's fencing number in the permit.
  std::uint64_t fence = 0;
  /// On the agent's clock.
  time_point permit_end{};
  /// Runs only with nothing beside it; see `admission`.
  bool exclusive = false;

  bool operator==(const attempt_offer&) const = default;
};

/// Decides which offered attempts run; the only keeper of the slots.
///
/// A request that was in flight when a backend server crashed is offered as
/// exclusive: it runs with nothing beside it, whichever homes the others come
/// from, so that another crash names just the one that caused it. While one
/// waits for the running ones to end, no other begins for `exclusive_hold`.
class admission {
 public:
  explicit admission(attempt_memory_settings settings);

  /// Takes the fencing number of this start; offers of others are refused.
  void take_fence(std::uint64_t fence) { this->own_fence = fence; }
  /// Sets how many attempts may run at once.
  void set_slots(std::uint32_t slots) { this->slot_count = slots; }
  /// Refuses every offer from now on.
  void drain() { this->is_draining = true; }

  /// Decides on an offer and notes it as running if it is admitted.
  ///
  /// \param offer The attempt.
  /// \param target ok if the model or service can run it now, else why not.
  /// \param now The time.
  /// \return The verdict: wrong_incarnation, draining, server_busy, the
  ///   target's code, or one of `attempt_memory::check`.
  admission_verdict decide(const attempt_offer& offer, result_code target,
                           time_point now);

  /// Notes the end of an admitted attempt; others are ignored.
  void end(const attempt_id& id, bool whole);

  /// Answers a question about an attempt, changing nothing.
  attempt_state state_of(const attempt_offer& asked) const;

  /// Keeps an attempt not yet seen from running, if it is this start's.
  attempt_state tombstone(const attempt_offer& asked, time_point now);

  /// Forgets what is older than the retention time.
  void tick(time_point now) { this->memory.tick(now); }

  /// Returns how many attempts run now.
  std::uint32_t running() const { return this->running_count; }
  /// Returns how many may run at once.
  std::uint32_t slots() const { return this->slot_count; }
  /// Returns whether every offer is refused.
  bool draining() const { return this->is_draining; }
  /// Returns how many ids are remembered.
  std::size_t remembered() const { return this->memory.size(); }

  /// How long others are kept out for an exclusive attempt that was turned
  /// away; its router comes back well within that.
  static constexpr milliseconds exclusive_hold{1500};

 private:
  bool may_begin(const attempt_offer& offer, time_point now);

  attempt_memory memory;
  std::uint64_t own_fence = 0;
  std::uint32_t slot_count = 0;
  std::uint32_t running_count = 0;
  bool is_draining = false;
  std::optional<attempt_id> alone;
  time_point held_until{};
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ADMISSION_HPP
