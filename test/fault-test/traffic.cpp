// What a cell's callers and operators do, and what is checked of it.

#include <boragehill/placement.hpp>

#include "fault_checkers.hpp"
#include "invariants/attempt_runs_at_most_once.hpp"
#include "invariants/memory_never_overcommitted.hpp"
#include "invariants/never_ran_stays_true.hpp"
#include "invariants/poison_bound.hpp"
#include "invariants/revisions_rise.hpp"
#include "sim_agent.hpp"
#include "sim_router.hpp"

namespace boragehill::fault {

namespace {

constexpr milliseconds second{1000};
constexpr int most_resends = 4;
const std::vector<std::string> models{"a", "b", "c"};

std::vector<profile> profiles_with(std::uint32_t replicas_of_a) {
  return {profile{.name = "p",
                  .services = {"x"},
                  .models = {{.name = "a",
                              .bytes = 60,
                              .replicas = replicas_of_a,
                              .max_replicas = replicas_of_a},
                             {.name = "b", .bytes = 60, .max_replicas = 2},
                             {.name = "c", .bytes = 30}}}};
}

}  // namespace

void world::ask(const caller_request& request, std::size_t preferred,
                milliseconds in) {
  this->time.outside(in, [this, request, preferred] {
    sim_router* entry = nullptr;
    for (std::size_t i = 0; i < router_count && entry == nullptr; ++i) {
      auto& each = *this->routers[(preferred + i) % router_count];
      if (each.takes_requests()) entry = &each;
    }
    const time_point deadline = this->time.now + request.wait;
    const std::string at = entry == nullptr ? "" : entry->vm.id;
    this->seen.requests[request.id] = {request, deadline, at, {}, 0};
    const caller_outcome gone{.how = caller_outcome::kind::cut_off};
    if (entry == nullptr) return this->ended(request.id, gone);
    entry->own.at_death.emplace_back(
        [this, id = request.id, gone] { this->ended(id, gone); });
    this->time.after(entry->own, milliseconds(1), [entry, request, deadline] {
      entry->accept(request, deadline);
    });
  });
}

void world::ended(const std::string& id, caller_outcome outcome) {
  seen_request& request = this->seen.requests.at(id);
  if (request.outcome.how != caller_outcome::kind::open) return;
  request.outcome = std::move(outcome);
  request.outcome.ended_at = this->time.now;
  const auto convicted = static_cast<int>(result_code::request_convicted);
  if (request.outcome.code == convicted) {
    this->seen.convicted.insert(request.asked.fingerprint());
  }
  const bool whole = request.outcome.how == caller_outcome::kind::whole;
  if (!whole && !request.asked.key.empty()) this->resend(request);
}

void world::resend(const seen_request& request) {
  if (++this->resends > most_resends) return;
  caller_request again = request.asked;
  again.id += "+";
  this->ask(again, static_cast<std::size_t>(this->resends), second);
}

void world::publish(std::size_t router, const std::string& id) {
  auto& at = *this->routers[router];
  if (!at.own.alive) return;
  const auto base = this->table.peek("catalog").as<config_row>().revision;
  this->time.after(at.own, milliseconds(1),
                   [&at, id, base] { at.publish(id, base, profiles_with(1)); });
}

void world::publish_two() {
  this->publish(0, "first operator");
  this->publish(1, "second operator");
}

void world::stop_busiest() {
  sim_agent* busiest = nullptr;
  for (const auto& each : this->agents) {
    if (!each->own.alive) continue;
    if (busiest != nullptr && each->running() <= busiest->running()) continue;
    busiest = each.get();
  }
  if (busiest == nullptr) return;
  this->time.after(busiest->own, milliseconds(0),
                   [busiest] { busiest->drain(); });
}

void world::start_traffic() {
  const caller_request once{
      .id = "once", .model = "b", .key = "key", .non_idempotent = true};
  this->ask(once, 0, 3 * second);
  this->ask({.id = "streamed", .model = "a", .streamed = true}, 1, 3 * second);
  this->ask({.id = "unkeyed", .model = "b", .non_idempotent = true}, 1,
            3 * second);
  caller_request copy = once;
  copy.id = "copy";
  this->ask(copy, 1, 4 * second);
  constexpr int many = 56;
  for (int i = 0; i < many; ++i) {
    const std::string id = "plain" + std::to_string(i);
    const std::string& model = models[i % 7 == 6 ? 2 : i % 2];
    this->ask({.id = id, .model = model, .streamed = i % 5 == 0}, i % 2,
              3 * second + milliseconds(350) * i);
  }
  for (int i = 0; i < 3; ++i) {
    const std::string key = "key" + std::to_string(i);
    this->ask({.id = key, .model = "b", .key = key, .non_idempotent = true}, i,
              9 * second + 4 * second * i);
  }
  this->time.outside(9 * second, [this] { this->publish(0, "operator"); });
  this->time.outside(15 * second, [this] { this->stop_busiest(); });
  // Long after every fault the service answers again.
  this->ask({.id = "after a", .model = "a"}, 0, 60 * second);
  this->ask({.id = "after b", .model = "b"}, 1, 60 * second);
}

void world::run() {
  process operators{.name = "operators"};
  const config_row first{1, "start", profiles_with(2)};
  this->table.write(operators, {{"catalog", 0, first}, {"history/1", 0, first}},
                    [](result_code) {});
  for (auto& each : this->agents) each->start();
  for (auto& each : this->routers) each->start();
  this->start_traffic();
  this->time.run_until(this->time.now + 80 * second);
  this->check_end();
}

void world::check() {
  for (const auto& each : this->agents) {
    this->seen.note("memory", invariants::memory_never_overcommitted(
                                  fake_engine::capacity, each->reserved(),
                                  each->engine.held_bytes()));
  }
  for (const auto& model : models) {
    const auto row =
        this->table.peek("placement/" + model).as<placement>().servers;
    const auto held = static_cast<std::size_t>(std::count_if(
        this->agents.begin(), this->agents.end(),
        [&](const auto& each) { return each->engine.holds(model); }));
    this->seen.note("grants", replicas_within_grants(model, held, row.size()));
  }
}

void world::check_end() {
  truth& all = this->seen;
  all.note("attempts",
           invariants::attempt_runs_at_most_once(all.runs_by_attempt));
  all.note("tombstones", invariants::never_ran_stays_true(all.tombstoned,
                                                          all.runs_by_attempt));
  all.note("once", key_runs_at_most_once(all));
  all.note("truth", no_means_no_run(all));
  all.note("answers", own_whole_answer(all));
  all.note("poison", invariants::poison_bound(all.crashes, all.convicted));
  all.note("leaving", none(all.runs_after_leaving, "runs at leaving servers"));
  all.note("stop", none(all.cut_by_stop, "requests cut by a planned stop"));
  for (const auto& [router, revisions] : all.revisions) {
    all.note("revisions", invariants::revisions_rise(revisions));
  }
  std::map<std::uint64_t, std::string> standing;
  const auto last = this->table.peek("catalog").as<config_row>().revision;
  for (std::uint64_t i = 1; i <= last; ++i) {
    const auto& row = this->table.peek("history/" + std::to_string(i));
    standing[i] = row.as<config_row>().publish_id;
  }
  all.note("publishes", accepted_publishes_stand(all, standing));
  for (const auto& each : this->routers) {
    if (!each->own.alive || each->revision() == last) continue;
    all.note("spread", bad(each->vm.id + " is not at the last revision"));
  }
  all.note("deadline", ended_by_deadline(all, this->thaws));
  for (const auto* id : {"after a", "after b"}) {
    if (all.requests[id].outcome.how == caller_outcome::kind::whole) continue;
    all.note("recovery", bad(std::string(id) + " is not answered"));
  }
  for (const auto what : this->troubles) {
    if (what == trouble::store_slow && all.loads_since == 0) {
      this->not_applicable = "no load follows the step";
    }
    if (what == trouble::answer_lost && !this->table.answer_was_lost) {
      this->not_applicable = "no write follows the fault";
    }
  }
}

}  // namespace boragehill::fault
