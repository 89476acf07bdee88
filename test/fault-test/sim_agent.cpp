#include "sim_agent.hpp"

#include <boragehill/server_record.hpp>

#include "sim_router.hpp"

namespace boragehill::fault {

namespace {

constexpr milliseconds tick_interval{100};
constexpr milliseconds report_interval{500};
constexpr milliseconds retry_interval{500};
constexpr milliseconds restart_time{5000};

}  // namespace

sim_agent::sim_agent(world& around_world, vm_info info)
    : own{.name = info.id},
      vm(std::move(info)),
      engine(around_world.time, around_world.seen, this->vm.id + " engine",
             around_world.broken_by(breakage::answer_unload_early)
                 ? breakage::answer_unload_early
                 : breakage::none),
      around(&around_world),
      offset(std::chrono::hours(this->vm.control.port)) {}

void sim_agent::start() {
  this->own.alive = true;
  this->stopping = false;
  this->around->seen.leaving.erase(this->vm.id);
  this->fence = 0;
  this->answers.clear();
  this->residency = std::make_unique<decide::residency>(
      decide::residency_settings{.grants_poll_interval = milliseconds(3000)},
      this->clock());
  this->admission =
      std::make_unique<decide::admission>(decide::attempt_registry_settings{});
  this->admission->set_slots(4);
  this->take_fence();
  this->around->time.every(this->own, tick_interval, [this] { this->tick(); });
}

void sim_agent::take_fence() {
  const std::string key = "server/" + this->vm.id;
  this->around->table.read(this->own, {key}, [this, key](auto found) {
    const auto again = [this] { this->take_fence(); };
    if (!found) {
      return this->around->time.after(this->own, retry_interval, again);
    }
    auto row = found->front().template as<server_record>();
    row.id = this->vm.id;
    row.capacity_bytes = fake_engine::capacity;
    row.failure_domain = this->vm.failure_domain;
    const std::uint64_t next = ++row.fence;
    this->around->table.write(
        this->own, {{key, found->front().etag, row}},
        [this, next, again](result_code code) {
          if (code != result_code::ok) {
            return this->around->time.after(this->own, retry_interval, again);
          }
          this->fence = next;
          this->admission->set_fencing_number(next);
          this->residency->on_fence_taken(next, this->clock());
          this->act();
          this->report();
        });
  });
}

void sim_agent::read_grants() {
  const time_point began = this->clock();
  this->around->table.read(
      this->own, {"server/" + this->vm.id}, [this, began](auto found) {
        if (!found) {
          return this->around->time.after(this->own, retry_interval,
                                          [this] { this->read_grants(); });
        }
        this->residency->on_grants(found->front().template as<server_record>(),
                                   began, this->clock());
        this->act();
      });
}

void sim_agent::tick() {
  const time_point now = this->clock();
  this->admission->remove_expired(now);
  this->residency->tick(now);
  this->act();
  if (this->around->listed_as_leaving(this->vm.id)) this->drain();
  if (now >= this->next_report) this->report();
  this->exit_if_idle();
}

void sim_agent::drain() {
  if (this->stopping) return;
  this->stopping = true;
  if (!this->around->broken_by(breakage::ignore_leaving)) {
    this->admission->drain();
    this->residency->drain();
  }
  this->around->note_leaving(this->vm.id);
  this->report();
  this->around->at(step::stop, this->own);
  const bool at_once = this->around->broken_by(breakage::cut_at_stop);
  if (at_once)
    this->around->time.after(this->own, tick_interval, [this] {
      this->around->seen.cut_by_stop += static_cast<int>(this->running());
      this->around->time.kill(this->own);
    });
}

void sim_agent::exit_if_idle() {
  if (!this->stopping || this->running() > 0) return;
  if (this->around->broken_by(breakage::ignore_leaving)) return;
  this->around->time.kill(this->own);
  this->around->time.outside(restart_time, [this] {
    const bool leaving = this->around->listed_as_leaving(this->vm.id);
    if (!this->own.alive && !leaving) this->start();
  });
}

wire::wake_answer sim_agent::on_wake(const wire::wake_order& order) {
  const auto outcome = this->residency->on_load_request(
      {.model = order.model,
       .adapter = order.adapter,
       .bytes = order.bytes,
       .adapter_bytes = order.adapter_bytes,
       .keep_warm = milliseconds(order.keep_warm_ms)},
      this->clock());
  this->act();
  return {.code = static_cast<int>(outcome.code),
          .ready_in_ms = outcome.ready_in.count()};
}

void sim_agent::on_retire(const std::string& model) {
  this->residency->on_retire(model, this->clock());
  this->act();
}

void sim_agent::on_grants_hint() {
  this->residency->on_grants_hint(this->clock());
  this->act();
}

wire::attempt_status sim_agent::on_tombstone(
    const decide::attempt_offer& asked) {
  auto state = this->admission->tombstone(asked, this->clock());
  if (this->around->broken_by(breakage::call_all_never_ran)) {
    state = decide::attempt_state::never_ran;
  }
  if (state == decide::attempt_state::never_ran) {
    this->around->seen.tombstoned.insert(asked.id.to_string());
  }
  return static_cast<wire::attempt_status>(state);
}

std::string sim_agent::kept(const std::string& attempt) const {
  const auto found = this->answers.find(attempt);
  return found == this->answers.end() ? std::string{} : found->second;
}

void sim_agent::on_attempt(const decide::attempt_offer& offer,
                           const std::string& request,
                           const std::function<void(agent_frame)>& back) {
  const auto& asked = this->around->seen.requests.at(request).asked;
  auto verdict = this->admission->decide(
      offer, this->residency->check_usable(asked.model, ""), this->clock());
  const bool again = verdict.code == result_code::attempt_seen &&
                     this->around->broken_by(breakage::run_offers_again);
  if (verdict.code != result_code::ok && !again) {
    const auto what = verdict.ran == ran_state::no ? agent_frame::kind::refused
                                                   : agent_frame::kind::broken;
    return back({.what = what, .code = verdict.code, .body = {}});
  }
  this->residency->on_attempt_began(asked.model, "", this->clock());
  const auto left = this->around->seen.leaving.find(this->vm.id);
  if (left != this->around->seen.leaving.end() &&
      this->around->time.now > left->second + milliseconds(5000)) {
    ++this->around->seen.runs_after_leaving;
  }
  this->engine.run(
      this->own, offer.id.to_string(), this->around->seen.requests.at(request),
      [this, back, request, streamed = asked.streamed](int piece) {
        back({.what = agent_frame::kind::piece, .code = {}, .body = {}});
        if (streamed && piece == 1) {
          this->around->at(step::streaming, this->own, request);
        }
      },
      [this, offer, request, back, model = asked.model](run_end how) {
        this->finish(offer, model, request, how, back);
      });
  this->around->at(step::running, this->own, request);
}

void sim_agent::finish(const decide::attempt_offer& offer,
                       const std::string& model, const std::string& request,
                       run_end how,
                       const std::function<void(agent_frame)>& back) {
  const bool whole = how == run_end::whole;
  std::string body = this->around->seen.requests.at(request).asked.expected();
  if (this->around->broken_by(breakage::swap_answers)) body += "?";
  if (whole) this->answers[offer.id.to_string()] = body;
  this->admission->end(offer.id, whole);
  this->residency->on_attempt_ended(model, "", this->clock());
  if (!whole) this->residency->on_engine_suspected(this->clock());
  back({.what = whole ? agent_frame::kind::whole : agent_frame::kind::broken,
        .code = whole ? result_code::ok : result_code::engine_crashed,
        .body = body});
  this->act();
  if (whole) this->around->at(step::ended, this->own, request);
}

void sim_agent::act() {
  for (auto actions = this->residency->take_actions(); !actions.empty();
       actions = this->residency->take_actions()) {
    for (const auto& action : actions) this->act_on(action);
  }
}

void sim_agent::act_on(const decide::residency_action& action) {
  if (const auto* sent = std::get_if<decide::send_order>(&action)) {
    return this->send_order(sent->order);
  }
  if (std::holds_alternative<decide::read_engine_state>(action)) {
    return this->read_engine();
  }
  if (std::holds_alternative<decide::read_grants>(action)) {
    return this->read_grants();
  }
  if (std::holds_alternative<decide::notify_superseded>(action)) {
    return this->admission->drain();
  }
  this->report();
  if (std::holds_alternative<decide::notify_given_up>(action)) {
    this->around->at(step::grant_given_up, this->own);
  }
}

void sim_agent::send_order(const engine_order& order) {
  const bool load = order.kind == order_kind::load;
  this->engine.order(this->own, order, [this, order, load](result_code code) {
    const auto error =
        code == result_code::ok ? std::error_code{} : make_error_code(code);
    this->residency->on_order_done(order, error, this->clock());
    this->act();
    if (load) this->around->at(step::load_answered, this->own);
  });
  if (load) this->around->at(step::load_running, this->own);
}

void sim_agent::read_engine() {
  this->around->time.after(this->own, milliseconds(2), [this] {
    if (this->engine.own.alive) {
      this->residency->on_engine_state(this->engine.state(), this->clock());
    } else {
      this->residency->on_engine_unresponsive(this->clock());
    }
    this->act();
  });
}

void sim_agent::report() {
  this->next_report = this->clock() + report_interval;
  const auto now = this->clock();
  const auto& ledger = this->residency->ledger();
  wire::agent_report told{
      .server = this->vm.id,
      .fence = this->fence,
      .now_ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
                    .count(),
      .control = this->vm.control,
      .data = this->vm.data,
      .failure_domain = this->vm.failure_domain,
      .capacity_bytes = ledger.capacity(),
      .free_bytes = ledger.free(),
      .evictable_bytes = this->residency->evictable_bytes(now),
      .slots = this->admission->slots(),
      .running = this->admission->running(),
      .draining = this->admission->draining(),
      .backend_up = this->residency->engine_up(),
      .replicas = this->residency->replicas(now)};
  told.given_up = this->residency->given_up();
  for (const auto& router : this->around->routers) {
    this->around->time.send(this->own, router->own,
                            [at = router.get(), told] { at->on_report(told); });
  }
}

}  // namespace boragehill::fault
