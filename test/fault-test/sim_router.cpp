#include "sim_router.hpp"

#include "decide/rendezvous.hpp"
#include "decide/target_name.hpp"
#include "sim_agent.hpp"
#include "sim_request.hpp"

namespace boragehill::fault {

namespace {

constexpr milliseconds call_limit{300};

}  // namespace

sim_router::sim_router(world& around_world, vm_info info)
    : own{.name = info.id}, vm(std::move(info)), around(&around_world) {}

sim_router::~sim_router() = default;

void sim_router::start() {
  this->own.alive = true;
  this->waiting.clear();
  this->requests.clear();
  this->convictions.clear();
  this->next_sequence = 0;
  this->catalog = {};
  this->incarnation = this->vm.id + "-" + std::to_string(this->own.life);
  const time_point now = this->around->time.now;
  this->home = std::make_unique<decide::home>(
      decide::home_settings{}, decide::crash_attribution_settings{});
  this->members =
      std::make_unique<decide::membership>(decide::membership_settings{});
  this->view = std::make_unique<decide::revision_view>(
      decide::revision_view_settings{}, now);
  this->budget = std::make_unique<decide::retry_token_bucket>(0.2, 20);
  auto& time = this->around->time;
  this->look_around();
  time.every(this->own, milliseconds(50), [this] { this->tick(); });
  time.every(this->own, milliseconds(500), [this] { this->heartbeat(); });
  time.every(this->own, milliseconds(500), [this] { this->renew(); });
  time.every(this->own, milliseconds(1000), [this] { this->look_around(); });
  time.every(this->own, milliseconds(1000), [this] { this->poll_catalog(); });
  time.every(this->own, milliseconds(2000),
             [this] { this->poll_placements(); });
  time.after(this->own, milliseconds(1), [this] { this->poll_catalog(); });
}

bool sim_router::takes_requests() const {
  return this->own.alive && !this->draining;
}

void sim_router::tick() {
  const time_point now = this->around->time.now;
  this->view->on_tick(now);
  this->home->tick(now);
  this->send_actions();
}

void sim_router::look_around() {
  const auto listed = this->around->vm_list();
  this->members->on_vm_list(listed, this->around->time.now);
  for (const auto& each : listed) {
    if (each.state != vm_state::leaving) continue;
    this->members->on_draining(each.id);
    if (each.role == vm_role::model_server) this->home->on_draining(each.id);
    if (each.id == this->vm.id) this->drain();
  }
}

void sim_router::accept(const caller_request& request, time_point deadline) {
  std::vector<std::string> peers;
  for (const auto& each : this->around->vm_list()) {
    const bool peer = each.role == vm_role::router && each.id != this->vm.id;
    if (peer && each.state == vm_state::live) peers.push_back(each.id);
  }
  const time_point now = this->around->time.now;
  const auto ready = this->view->readiness(peers, now);
  if (ready != decide::revision_readiness::ready) {
    this->around->ended(request.id,
                        {.how = caller_outcome::kind::refused,
                         .ran = ran_state::no,
                         .body = {},
                         .code = static_cast<int>(result_code::not_ready)});
    return;
  }
  this->budget->on_first_attempt();
  this->requests.push_back(std::make_shared<sim_request>(
      *this->around, *this, request, deadline, ++this->next_sequence));
  this->around->at(step::accept, this->own, request.id);
  this->requests.back()->begin();
}

wire::permit_answer sim_router::on_permit_asked(
    const wire::permit_request& ask) {
  auto answer = this->home->request_permit(ask, this->around->time.now);
  this->send_actions();
  return answer;
}

bool sim_router::on_permit_told(const wire::permit_answer& answer) {
  const auto found = this->waiting.find(answer.attempt);
  if (found == this->waiting.end()) return false;
  auto* request = found->second.second;
  this->waiting.erase(found);
  request->on_told(answer);
  return true;
}

std::vector<std::string> sim_router::on_renewal(
    const std::vector<std::string>& attempts) {
  auto unknown = this->home->on_renewal(attempts);
  this->send_actions();
  return unknown;
}

void sim_router::on_done(const wire::attempt_end& end) {
  const time_point now = this->around->time.now;
  this->home->on_attempt_end(end, now);
  const bool crashed = end.outcome == wire::attempt_outcome::crashed;
  if (crashed && this->around->broken_by(breakage::convict_all_in_flight)) {
    this->home->on_quarantine(end.fingerprint, now);
  }
  this->send_actions();
}

void sim_router::on_withdraw(const std::string& attempt) {
  this->home->withdraw(attempt, this->around->time.now);
}

void sim_router::on_report(const wire::agent_report& report) {
  const time_point now = this->around->time.now;
  this->home->on_report(report, now);
  if (report.draining) this->members->on_draining(report.server);
  for (const auto& [model, serial] : report.given_up) {
    const auto homes = this->homes(decide::model_target(model));
    if (homes.empty() || homes.front() != this) continue;
    this->remove_grant(report.server, model,
                       decide::grant_acknowledgement{report.fence, serial});
  }
  this->send_actions();
}

void sim_router::send_actions() {
  for (const auto& action : this->home->take_actions()) this->carry_out(action);
}

void sim_router::carry_out(const decide::home_action& action) {
  if (const auto* told = std::get_if<decide::notify_entry>(&action)) {
    auto& entry = this->around->router_at(told->entry);
    this->around->time.call<bool>(
        this->own, entry.own, call_limit,
        [&entry, answer = told->response] {
          return entry.on_permit_told(answer);
        },
        [this, attempt = told->response.attempt](std::optional<bool> taken) {
          if (taken && !*taken) this->on_withdraw(attempt);
        });
  }
  if (const auto* order = std::get_if<decide::order_load>(&action)) {
    this->wake(*order);
  }
  if (const auto* wanted = std::get_if<decide::request_grants>(&action)) {
    this->add_grant(*wanted, 0);
  }
  if (const auto* share = std::get_if<decide::share_quarantine>(&action)) {
    this->convictions.insert(share->fingerprint);
  }
}

void sim_router::wake(const decide::order_load& order) {
  if (this->around->broken_by(breakage::forget_wakes)) return;
  auto& agent = this->around->agent(order.server);
  this->around->time.call<wire::wake_answer>(
      this->own, agent.own, call_limit,
      [&agent, order] { return agent.on_wake(order.order); },
      [this, order](std::optional<wire::wake_answer> answer) {
        const time_point now = this->around->time.now;
        if (answer) this->home->on_load_response(order, *answer, now);
        if (!answer) this->home->on_load_order_lost(order, now);
        this->send_actions();
      });
  this->around->at(step::wake_ordered, this->own);
}

std::vector<vm_info> sim_router::live_routers() {
  return this->members->live_routers({}, this->around->time.now);
}

std::vector<sim_router*> sim_router::homes(const std::string& target) {
  std::vector<std::string> ids;
  for (const auto& each : this->live_routers()) ids.push_back(each.id);
  const bool missing =
      std::find(ids.begin(), ids.end(), this->vm.id) == ids.end();
  if (missing && !this->draining) ids.push_back(this->vm.id);
  std::vector<sim_router*> found;
  for (const auto& id : decide::rank_homes(target, ids, ids.size())) {
    for (const auto& each : this->around->routers) {
      if (each->vm.id == id) found.push_back(each.get());
    }
  }
  return found;
}

void sim_router::suspect(const std::string& id) {
  this->members->on_call_failed(id, this->around->time.now);
}

heartbeat_news sim_router::news() const {
  return {.revision = this->view->revision(),
          .confirmed_age = this->view->confirmed_age(this->around->time.now),
          .profiles = this->catalog.profiles(),
          .convictions = {this->convictions.begin(), this->convictions.end()},
          .draining = this->draining};
}

heartbeat_news sim_router::on_heartbeat(const heartbeat_news& news,
                                        const std::string& from) {
  this->learn(news, from);
  return this->news();
}

void sim_router::learn(const heartbeat_news& news, const std::string& from) {
  if (news.draining) this->members->on_draining(from);
  for (const auto& print : news.convictions) {
    if (!this->convictions.insert(print).second) continue;
    this->home->on_quarantine(print, this->around->time.now);
  }
  const bool newer = news.revision > this->view->revision();
  const bool any = this->around->broken_by(breakage::apply_any_revision);
  if (newer || any) this->apply(news.revision, news.profiles);
}

void sim_router::heartbeat() {
  for (const auto& each : this->around->routers) {
    if (each.get() == this) continue;
    auto* peer = each.get();
    const time_point began = this->around->time.now;
    this->around->time.call<heartbeat_news>(
        this->own, peer->own, call_limit,
        [peer, told = this->news(), id = this->vm.id] {
          return peer->on_heartbeat(told, id);
        },
        [this, peer, began](std::optional<heartbeat_news> answer) {
          if (!answer) {
            this->suspect(peer->vm.id);
            return this->view->on_peer_unresponsive(peer->vm.id, began);
          }
          this->members->on_call_succeeded(peer->vm.id);
          this->members->on_heartbeat(peer->vm, this->around->time.now);
          this->learn(*answer, peer->vm.id);
          this->view->on_peer_response(peer->vm.id,
                                       {.revision = answer->revision,
                                        .confirmed_age = answer->confirmed_age},
                                       began);
        });
  }
}

void sim_router::renew() {
  if (this->around->broken_by(breakage::ignore_deadline)) return;
  std::map<sim_router*, std::vector<std::string>> by_home;
  for (const auto& [attempt, place] : this->waiting) {
    by_home[place.first].push_back(attempt);
  }
  using names = std::vector<std::string>;
  for (const auto& place : by_home) {
    auto* at = place.first;
    const names attempts = place.second;
    this->around->time.call<names>(
        this->own, at->own, call_limit,
        [at, attempts] { return at->on_renewal(attempts); },
        [this, attempts](const std::optional<names>& unknown) {
          for (const auto& attempt : unknown.value_or(attempts)) {
            const auto found = this->waiting.find(attempt);
            if (found == this->waiting.end()) continue;
            auto* request = found->second.second;
            this->waiting.erase(found);
            request->on_place_lost();
          }
        });
  }
}

}  // namespace boragehill::fault
