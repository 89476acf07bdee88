#include "sim_request.hpp"

#include "decide/idempotency_claim.hpp"
#include "decide/target_name.hpp"

namespace boragehill::fault {

namespace {

constexpr milliseconds call_limit{300};
constexpr int read_back_tries = 3;

decide::flow_request facts_of(const sim_router& entry,
                              const caller_request& asked, time_point deadline,
                              std::uint64_t sequence) {
  return {.incarnation = entry.incarnation,
          .sequence = sequence,
          .entry = entry.vm.control,
          .target = decide::model_target(asked.model),
          .fingerprint = asked.fingerprint(),
          .non_idempotent = asked.non_idempotent,
          .has_idempotency_key = !asked.key.empty(),
          .deadline = deadline};
}

std::string row_key(const caller_request& asked) {
  return "once/" + asked.key;
}

}  // namespace

sim_request::sim_request(world& around_world, sim_router& at,
                         const caller_request& request, time_point end,
                         std::uint64_t sequence)
    : around(&around_world),
      entry(&at),
      asked(request),
      deadline(end),
      flow(
          facts_of(at, request, end, sequence), {},
          [&at] { return at.budget->take_retry(); },
          [&around_world] { return around_world.random(); }) {}

void sim_request::begin() {
  if (!this->asked.key.empty()) return this->open();
  this->next(this->flow.begin(this->now()));
}

void sim_request::open() {
  if (this->now() >= this->deadline) {
    return this->refuse(result_code::outcome_unknown, ran_state::unknown);
  }
  this->around->table.read(
      this->entry->own, {row_key(this->asked)}, [this](auto found) {
        if (!found) {
          return this->refuse(result_code::platform_down, ran_state::no);
        }
        this->etag = found->front().etag;
        if (this->etag == 0) return this->next(this->flow.begin(this->now()));
        this->on_row(found->front().template as<decide::idempotency_record>());
      });
}

void sim_request::on_row(const decide::idempotency_record& row) {
  const auto judged = decide::evaluate_record(row, this->asked.fingerprint());
  if (std::holds_alternative<decide::return_stored_response>(judged)) {
    return this->hand_over(row.response_body);
  }
  if (std::holds_alternative<decide::refuse_key_reuse>(judged)) {
    return this->refuse(result_code::idempotency_key_reused, ran_state::no);
  }
  this->follow(row);
}

void sim_request::follow(const decide::idempotency_record& row) {
  wire::permit_answer claimed{.server = row.server,
                              .fence = row.fence,
                              .permit_end_ms = row.permit_end_ms};
  this->ask_agent(row.attempt, claimed, [this, row](auto status) {
    const auto judged = decide::evaluate_agent_status(status);
    if (std::holds_alternative<decide::wait_for_completion>(judged)) {
      return this->around->time.after(this->entry->own, milliseconds(100),
                                      [this] { this->open(); });
    }
    if (std::holds_alternative<decide::reassign_claim>(judged)) {
      return this->next(this->flow.begin(this->now()));
    }
    if (std::holds_alternative<decide::report_unknown_outcome>(judged)) {
      return this->refuse(result_code::outcome_unknown, ran_state::unknown);
    }
    this->ask_kept(row.attempt, row.server, [this](auto body) {
      if (body) return this->hand_over(*body);
      this->refuse(result_code::outcome_unknown, ran_state::unknown);
    });
  });
}

void sim_request::next(const step_of& what) {
  std::visit([this](const auto& each) { this->carry_out(each); }, what);
}

void sim_request::carry_out(const decide::request_permit& what) {
  this->home = nullptr;
  for (auto* each : this->entry->homes(what.request.target)) {
    if (this->home == nullptr && !this->lost.contains(each)) this->home = each;
  }
  if (this->home == nullptr) {
    return this->next(this->flow.on_home_lost(this->now()));
  }
  // Opened before the call: the turn may come before its answer.
  this->entry->waiting[what.request.attempt] = {this->home, this};
  this->around->time.call<wire::permit_answer>(
      this->entry->own, this->home->own, call_limit,
      [at = this->home, ask = what.request] {
        return at->on_permit_asked(ask);
      },
      [this, attempt = what.request.attempt](auto answer) {
        const bool open = this->entry->waiting.contains(attempt);
        if (!open) return;
        const bool queued =
            answer && answer->state == wire::permit_state::queued;
        if (!queued) this->entry->waiting.erase(attempt);
        if (!answer) return this->lose_home();
        if (!queued) this->permit = *answer;
        this->next(this->flow.on_permit(*answer, this->now()));
      });
  this->around->at(step::ask_home, this->entry->own, this->asked.id);
}

void sim_request::lose_home() {
  this->lost.insert(this->home);
  this->entry->suspect(this->home->vm.id);
  this->next(this->flow.on_home_lost(this->now()));
}

void sim_request::carry_out(const decide::await_permit& what) {
  if (this->around->broken_by(breakage::ignore_deadline)) return;
  const std::string attempt = what.attempt.to_string();
  const auto left =
      std::chrono::duration_cast<milliseconds>(what.until - this->now());
  this->around->time.after(this->entry->own, left, [this, attempt] {
    if (this->entry->waiting.erase(attempt) == 0) return;
    this->around->time.send(
        this->entry->own, this->home->own,
        [at = this->home, attempt] { at->on_withdraw(attempt); });
    this->next(this->flow.on_home_lost(this->now()));
  });
}

void sim_request::on_told(const wire::permit_answer& told) {
  this->permit = told;
  this->next(this->flow.on_permit(told, this->now()));
}

void sim_request::on_place_lost() {
  this->lose_home();
}

decide::idempotency_record sim_request::claim_row(
    const attempt_id& attempt, const wire::permit_answer& given) const {
  return {.digest = this->asked.fingerprint(),
          .attempt = attempt.to_string(),
          .server = given.server,
          .fence = given.fence,
          .permit_end_ms = given.permit_end_ms};
}

void sim_request::carry_out(const decide::write_claim& what) {
  const auto row = this->claim_row(what.attempt, what.permit);
  this->around->table.write(
      this->entry->own, {{row_key(this->asked), this->etag, row}},
      [this, row](result_code code) {
        if (code == result_code::platform_answer_lost ||
            code == result_code::ok) {
          return this->read_back_claim(row, 0);
        }
        this->note_end(wire::attempt_outcome::refused);
        this->next(this->flow.on_claim_written(code, this->now()));
      });
  this->around->at(step::claim_written, this->entry->own, this->asked.id);
}

void sim_request::read_back_claim(const decide::idempotency_record& row,
                                  int tries) {
  this->around->table.read(
      this->entry->own, {row_key(this->asked)}, [this, row, tries](auto found) {
        if (!found && tries + 1 < read_back_tries) {
          return this->read_back_claim(row, tries + 1);
        }
        auto code = result_code::platform_answer_lost;
        if (found && found->front().etag != 0) {
          const auto standing =
              found->front().template as<decide::idempotency_record>();
          const bool ours = decide::is_claimed_by(standing, row.attempt);
          code = ours ? result_code::ok : result_code::platform_conflict;
          this->etag = found->front().etag;
        }
        if (code != result_code::ok) {
          this->note_end(wire::attempt_outcome::refused);
        }
        this->next(this->flow.on_claim_written(code, this->now()));
      });
}

void sim_request::carry_out(const decide::dispatch& what) {
  this->permit = what.permit;
  this->send(what);
}

void sim_request::carry_out(const decide::query_attempt_status& what) {
  this->ask_agent(what.attempt.to_string(), what.permit, [this](auto fate) {
    this->next(this->flow.on_attempt_status(fate, this->now()));
  });
}

void sim_request::carry_out(const decide::fetch_stored_response& what) {
  this->ask_kept(
      what.attempt.to_string(), what.permit.server, [this](auto body) {
        if (body) this->answer = *body;
        this->next(
            this->flow.on_stored_response(body.has_value(), this->now()));
      });
}

void sim_request::carry_out(const decide::pause_until& what) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(what.until - this->now());
  this->around->time.after(this->entry->own, left, [this] {
    this->next(this->flow.on_pause_over(this->now()));
  });
}

void sim_request::carry_out(const decide::delivered&) {
  if (!this->asked.key.empty()) return this->settle(0);
  this->hand_over(this->answer);
}

void sim_request::carry_out(const decide::refuse_request& what) {
  const bool lie = this->around->broken_by(breakage::say_never_ran);
  this->refuse(what.response.code, lie ? ran_state::no : what.response.ran);
}

void sim_request::settle(int tries) {
  constexpr int settle_tries = 2;
  if (tries >= settle_tries) return this->hand_over(this->answer);
  auto row = this->claim_row(this->flow.attempt(), this->permit);
  row.state = decide::idempotency_state::completed;
  row.response_body = this->answer;
  this->around->table.write(
      this->entry->own, {{row_key(this->asked), this->etag, row}},
      [this, tries](result_code code) {
        const bool settled =
            code == result_code::ok || code == result_code::platform_conflict;
        if (settled) return this->hand_over(this->answer);
        this->settle(tries + 1);
      });
  this->around->at(step::result_written, this->entry->own, this->asked.id);
}

void sim_request::ask_agent(
    const std::string& attempt, const wire::permit_answer& given,
    std::function<void(std::optional<wire::attempt_status>)> done) {
  auto& agent = this->around->agent(given.server);
  const decide::attempt_offer offer{
      .id = *attempt_id::parse(attempt),
      .fence = given.fence,
      .permit_end = agent.of_permit(given.permit_end_ms)};
  this->around->time.call<wire::attempt_status>(
      this->entry->own, agent.own, call_limit,
      [&agent, offer] { return agent.on_tombstone(offer); }, std::move(done));
}

void sim_request::ask_kept(
    const std::string& attempt, const std::string& server,
    const std::function<void(std::optional<std::string>)>& done) {
  auto& agent = this->around->agent(server);
  this->around->time.call<std::string>(
      this->entry->own, agent.own, call_limit,
      [&agent, attempt] { return agent.kept(attempt); },
      [done](std::optional<std::string> body) {
        if (body && body->empty()) body.reset();
        done(body);
      });
}

void sim_request::refuse(result_code code, ran_state ran) {
  this->around->ended(this->asked.id, {.how = caller_outcome::kind::refused,
                                       .ran = ran,
                                       .body = {},
                                       .code = static_cast<int>(code)});
}

void sim_request::hand_over(const std::string& body) {
  if (this->streaming) return;
  this->around->ended(this->asked.id, {.how = caller_outcome::kind::whole,
                                       .ran = ran_state::yes,
                                       .body = body});
}

}  // namespace boragehill::fault
