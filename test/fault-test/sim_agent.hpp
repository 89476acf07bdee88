#ifndef BORAGEHILL_FAULT_TEST_SIM_AGENT_HPP
#define BORAGEHILL_FAULT_TEST_SIM_AGENT_HPP

#include "decide/admission.hpp"
#include "wire/agent_report.hpp"
#include "wire/attempt_status.hpp"
#include "wire/wake_answer.hpp"
#include "wire/wake_order.hpp"
#include "world.hpp"

namespace boragehill::fault {

/// What an agent sends back for an attempt.
struct agent_frame {
  enum class kind { piece, whole, refused, broken };

  kind what = kind::piece;
  result_code code = result_code::ok;
  std::string body;
};

/// The shell of one agent's decisions, as src/agent/brain.cpp has it.
class sim_agent {
 public:
  sim_agent(world& around, vm_info vm);

  void start();
  /// A planned stop: finishes what runs, exits and comes back later.
  void drain();

  wire::wake_answer on_wake(const wire::wake_order& order);
  void on_retire(const std::string& model);
  void on_grants_hint();
  wire::attempt_status on_tombstone(const decide::attempt_offer& asked);
  std::string kept(const std::string& attempt) const;
  /// Runs an attempt or refuses it; frames go to `back`.
  void on_attempt(const decide::attempt_offer& offer,
                  const std::string& request,
                  const std::function<void(agent_frame)>& back);

  std::uint32_t running() const { return this->admission->running(); }
  std::uint64_t reserved() const {
    return this->residency->ledger().reserved();
  }
  time_point of_permit(std::int64_t end_ms) const {
    return time_point{} + milliseconds(end_ms);
  }

  process own;
  vm_info vm;
  fake_engine engine;

 private:
  /// Its own clock, which no other process shares.
  time_point clock() const { return this->around->time.now + this->offset; }
  void take_fence();
  void read_grants();
  void tick();
  void act();
  void act_on(const decide::residency_action& action);
  void send_order(const engine_order& order);
  void read_engine();
  void report();
  void finish(const decide::attempt_offer& offer, const std::string& model,
              const std::string& request, run_end how,
              const std::function<void(agent_frame)>& back);
  void exit_if_idle();

  world* around;
  milliseconds offset;
  std::unique_ptr<decide::residency> residency;
  std::unique_ptr<decide::admission> admission;
  std::map<std::string, std::string> answers;
  std::uint64_t fence = 0;
  time_point next_report{};
  bool stopping = false;
};

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_SIM_AGENT_HPP
