#ifndef BORAGEHILL_FAULT_TEST_FAKE_ENGINE_HPP
#define BORAGEHILL_FAULT_TEST_FAKE_ENGINE_HPP

#include <boragehill/engine_order.hpp>
#include <boragehill/engine_state.hpp>
#include <boragehill/result_code.hpp>

#include "decide/residency.hpp"
#include "matrix_names.hpp"
#include "sim.hpp"
#include "truth.hpp"

namespace boragehill::fault {

/// How an engine's run ended.
enum class run_end { whole, crashed };

/// An engine beside an agent. It checks fencing numbers, loads slowly and goes
/// down when it runs a poisoned request. It obeys every order: what it holds
/// is the truth that the checkers compare with.
class fake_engine {
 public:
  static constexpr std::uint64_t capacity = 100;

  fake_engine(sim& time, truth& seen, std::string name, breakage broken)
      : own{.name = std::move(name)},
        time(&time),
        seen(&seen),
        broken(broken) {}

  process own;
  std::set<std::string>* poison = nullptr;
  const time_point* store_slow_until = nullptr;
  std::function<void()> on_change;

  void order(process& agent, const engine_order& asked,
             std::function<void(result_code)> done) {
    const auto end =
        this->answer_to(agent, std::move(done), result_code::order_unknown);
    if (!this->own.alive) return end(result_code::engine_down);
    if (asked.fence < this->fence) return end(result_code::order_fenced);
    this->fence = asked.fence;
    if (asked.model == decide::fence_probe_name) return end(result_code::ok);
    const bool load = asked.kind == order_kind::load;
    if (load) ++this->seen->loads_since;
    if (load) {
      this->held[asked.model] = {asked.model, engine_model_state::loading,
                                 asked.bytes};
    } else if (this->held.contains(asked.model)) {
      this->held[asked.model].state = engine_model_state::unloading;
      if (this->broken == breakage::answer_unload_early) end(result_code::ok);
    }
    this->on_change();
    this->time->after(this->own, load ? this->load_time() : unload_time,
                      [this, asked, load, end] {
                        this->held[asked.model].state =
                            engine_model_state::ready;
                        if (!load) this->held.erase(asked.model);
                        this->on_change();
                        end(result_code::ok);
                      });
  }

  /// Runs a request: three pieces, half a second apart.
  void run(process& agent, const std::string& attempt,
           const seen_request& request, const std::function<void(int)>& piece,
           std::function<void(run_end)> done) {
    const auto end = this->answer_to(agent, std::move(done), run_end::crashed);
    if (!this->own.alive) return end(run_end::crashed);
    const auto& asked = request.asked;
    ++this->seen->runs_by_attempt[attempt];
    ++this->seen->requests.at(asked.id).runs;
    if (!asked.key.empty()) ++this->seen->runs_by_key[asked.key];
    const std::string print = asked.fingerprint();
    if (this->poison->contains(print)) {
      return this->time->after(this->own, milliseconds(200), [this, print] {
        ++this->seen->crashes[print];
        this->crash();
      });
    }
    for (int i = 1; i <= pieces; ++i) {
      this->time->after(
          this->own, between * i, [this, &agent, life = agent.life, piece, i] {
            if (agent.life != life) return;
            this->time->after(agent, milliseconds(1), [piece, i] { piece(i); });
          });
    }
    this->time->after(this->own, between * pieces + milliseconds(1),
                      [end] { end(run_end::whole); });
  }

  void crash() {
    this->held.clear();
    this->time->kill(this->own);
    this->on_change();
    this->time->outside(milliseconds(2000),
                        [this] { this->own.alive = !this->gone; });
  }
  void vanish() {
    this->gone = true;
    this->crash();
  }

  engine_state state() const {
    engine_state now{.incarnation = std::to_string(this->own.life),
                     .capacity_bytes = capacity,
                     .slots = 4};
    for (const auto& [name, model] : this->held) now.models.push_back(model);
    return now;
  }
  std::uint64_t held_bytes() const {
    std::uint64_t sum = 0;
    for (const auto& [name, model] : this->held) sum += model.bytes;
    return sum;
  }
  bool holds(const std::string& model) const {
    return this->held.contains(model);
  }

 private:
  static constexpr int pieces = 3;
  static constexpr milliseconds between{500};
  static constexpr milliseconds unload_time{800};

  milliseconds load_time() const {
    const bool slow = this->time->now < *this->store_slow_until;
    return milliseconds(slow ? 12000 : 3000);
  }
  /// Answers the agent's present life once; `if_lost` when the engine dies.
  template <class Answer>
  std::function<void(Answer)> answer_to(process& agent,
                                        std::function<void(Answer)> done,
                                        Answer if_lost) {
    auto open = std::make_shared<bool>(true);
    const auto end = [this, &agent, life = agent.life, open,
                      done](Answer answer) {
      if (agent.life != life || !std::exchange(*open, false)) return;
      this->time->after(agent, milliseconds(1),
                        [done, answer] { done(answer); });
    };
    if (this->own.alive) {
      this->time->on_death(this->own, agent, [end, if_lost] { end(if_lost); });
    }
    return end;
  }

  sim* time;
  truth* seen;
  breakage broken;
  bool gone = false;
  std::uint64_t fence = 0;
  std::map<std::string, engine_model> held;
};

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_FAKE_ENGINE_HPP
