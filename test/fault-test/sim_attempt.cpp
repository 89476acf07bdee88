// The half of a request's driver that sends an attempt to its agent and
// watches over it, as src/router/attempt_call.cpp does.

#include "decide/target_name.hpp"
#include "sim_request.hpp"

namespace boragehill::fault {

namespace {

constexpr milliseconds call_limit{300};
constexpr milliseconds connect_limit{500};
constexpr milliseconds silence{2000};
constexpr int unanswered_probes = 2;

}  // namespace

void sim_request::send(const decide::dispatch& what) {
  const std::uint64_t sent = ++this->sending;
  this->last_frame = this->now();
  this->answer.clear();
  auto& agent = this->around->agent(what.permit.server);
  auto& time = this->around->time;
  auto& own = this->entry->own;
  if (!time.reachable(own, agent.own)) {
    return time.after(own, connect_limit, [this, sent] {
      this->on_result(sent, {.ending = decide::attempt_ending::not_sent,
                             .code = result_code::peer_unreachable});
    });
  }
  const decide::attempt_offer offer{
      .id = what.attempt,
      .fence = what.permit.fence,
      .permit_end = agent.of_permit(what.permit.permit_end_ms),
      .exclusive = what.permit.exclusive};
  const auto back = [this, &agent, &time, &own, life = own.life,
                     sent](const agent_frame& frame) {
    if (own.life != life) return;
    time.stream(agent.own, own,
                [this, sent, frame] { this->on_frame(sent, frame); });
  };
  const int copies =
      this->around->broken_by(breakage::run_offers_again) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    time.stream(own, agent.own, [&agent, offer, back, id = this->asked.id] {
      agent.on_attempt(offer, id, back);
    });
  }
  time.on_death(agent.own, own, [this, sent] {
    this->on_broken(sent, result_code::outcome_unknown);
  });
  this->probe(sent, 0);
  const auto left =
      std::chrono::duration_cast<milliseconds>(this->deadline - this->now());
  time.after(own, left, [this, sent] {
    if (this->streaming) return;
    this->on_result(sent, {.ending = decide::attempt_ending::interrupted,
                           .code = result_code::deadline_passed});
  });
  this->around->at(step::dispatched, own, this->asked.id);
}

void sim_request::probe(std::uint64_t sent, int unanswered) {
  this->around->time.after(this->entry->own, silence, [this, sent, unanswered] {
    if (sent != this->sending) return;
    if (this->now() - this->last_frame < silence) {
      return this->probe(sent, 0);
    }
    auto& agent = this->around->agent(this->permit.server);
    this->around->time.call<bool>(
        this->entry->own, agent.own, call_limit, [] { return true; },
        [this, sent, unanswered](std::optional<bool> alive) {
          if (sent != this->sending) return;
          if (alive) return this->probe(sent, 0);
          const int misses = unanswered + 1;
          if (misses < unanswered_probes) return this->probe(sent, misses);
          this->on_broken(sent, result_code::outcome_unknown);
        });
  });
}

void sim_request::on_frame(std::uint64_t sent, const agent_frame& frame) {
  if (sent != this->sending) return;
  this->last_frame = this->now();
  switch (frame.what) {
    case agent_frame::kind::piece:
      this->streaming = this->asked.streamed && this->asked.key.empty();
      return;
    case agent_frame::kind::whole:
      this->answer = frame.body;
      return this->on_result(sent,
                             {.ending = decide::attempt_ending::complete});
    case agent_frame::kind::refused:
      return this->on_result(sent, {.ending = decide::attempt_ending::refused,
                                    .code = frame.code});
    case agent_frame::kind::broken:
      break;
  }
  this->on_result(
      sent, {.ending = decide::attempt_ending::interrupted,
             .code = frame.code,
             .server_crashed = frame.code == result_code::engine_crashed});
}

void sim_request::on_broken(std::uint64_t sent, result_code code) {
  if (sent != this->sending) return;
  auto& agent = this->around->agent(this->permit.server);
  this->around->time.call<bool>(
      this->entry->own, agent.own, call_limit, [] { return true; },
      [this, sent, code](std::optional<bool> alive) {
        this->on_result(sent, {.ending = decide::attempt_ending::interrupted,
                               .code = code,
                               .server_crashed = !alive.has_value()});
      });
}

void sim_request::on_result(std::uint64_t sent, decide::attempt_result result) {
  if (sent != this->sending) return;
  ++this->sending;
  using decide::attempt_ending;
  const bool whole = result.ending == attempt_ending::complete;
  auto outcome = wire::attempt_outcome::lost;
  if (whole) outcome = wire::attempt_outcome::answered;
  if (result.ending == attempt_ending::refused) {
    outcome = wire::attempt_outcome::refused;
  }
  if (result.ending == attempt_ending::interrupted) {
    if (result.code == result_code::deadline_passed) {
      outcome = wire::attempt_outcome::cancelled;
    }
    if (result.server_crashed) outcome = wire::attempt_outcome::crashed;
  }
  this->note_end(outcome);
  if (std::exchange(this->streaming, false)) {
    // What was passed on cannot be taken back: the caller sees no end frame.
    if (whole) return this->hand_over(this->answer);
    return this->around->ended(this->asked.id,
                               {.how = caller_outcome::kind::cut_off});
  }
  if (this->around->broken_by(breakage::retry_after_broken_send) &&
      result.ending == attempt_ending::interrupted) {
    result = {.ending = attempt_ending::refused,
              .code = result_code::server_busy};
  }
  this->next(this->flow.on_attempt(result, this->now()));
}

void sim_request::note_end(wire::attempt_outcome outcome) {
  const wire::attempt_end end{.attempt = this->flow.attempt().to_string(),
                              .target = decide::model_target(this->asked.model),
                              .server = this->permit.server,
                              .fingerprint = this->asked.fingerprint(),
                              .outcome = outcome};
  this->around->time.send(this->entry->own, this->home->own,
                          [at = this->home, end] { at->on_done(end); });
}

}  // namespace boragehill::fault
