#ifndef BORAGEHILL_AGENT_BRAIN_HPP
#define BORAGEHILL_AGENT_BRAIN_HPP

#include <cstdint>

#include <boragehill/time_point.hpp>

#include "agent/agent_settings.hpp"
#include "agent/brain_message.hpp"
#include "agent/brain_outlets.hpp"
#include "decide/admission.hpp"
#include "decide/residency.hpp"
#include "kernel/random.hpp"

namespace boragehill::agent {

class agent_metrics;

/// The one owner of what the agent knows: which attempts run and were seen,
/// what the engine holds and what it is ordered next. Runs on one thread.
class brain {
 public:
  /// \param settings The agent's settings.
  /// \param outlets How it reaches the other duties.
  /// \param metrics Where its numbers go; must outlive it.
  /// \param now The time of the start.
  brain(const agent_settings& settings, brain_outlets outlets,
        agent_metrics& metrics, time_point now);

  /// Takes a message in and does what follows from it.
  void handle(brain_message& message, time_point now);

  /// Time passes; to be called several times a second.
  void tick(time_point now);

 private:
  void take(attempt_offered& message, time_point now);
  void take(attempt_finished& message, time_point now);
  void take(attempt_asked& message, time_point now);
  void take(wake_asked& message, time_point now);
  void take(retire_asked& message, time_point now);
  void take(grants_hinted& message, time_point now);
  void take(fence_taken& message, time_point now);
  void take(grants_read& message, time_point now);
  void take(engine_state_read& message, time_point now);
  void take(engine_lost& message, time_point now);
  void take(order_answered& message, time_point now);
  void take(view_asked& message, time_point now);
  void take(drain_asked& message, time_point now);

  void act(const decide::send_order& action);
  void act(const decide::read_engine_state& action);
  void act(const decide::read_grants& action);
  void act(const decide::notify_given_up& action);
  void act(const decide::notify_model_changed& action);
  void act(const decide::notify_engine_restarted& action);
  void act(const decide::notify_superseded& action);

  void carry_out_actions();
  void watch_plain_service(time_point now);
  result_code usable(const attempt_target& target) const;
  bool backend_up() const;
  brain_view view(time_point now) const;

  bool plain;
  std::string pool;
  std::uint32_t slots_override;
  milliseconds state_poll;
  std::uint64_t fence = 0;
  /// Never 0, and within what JSON carries exactly everywhere.
  std::uint64_t incarnation = (kernel::random_bits() >> 12U) + 1;
  brain_outlets outlets;
  agent_metrics* metrics;
  decide::admission admission;
  decide::residency residency;
  /// Of a plain service, which has no residency.
  bool service_up = false;
  bool service_asked = false;
  time_point next_service_read{};
  bool was_up = false;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_BRAIN_HPP
