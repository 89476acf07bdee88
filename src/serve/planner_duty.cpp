#include "serve/planner_duty.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "decide/awaited_models.hpp"
#include "decide/request_count_filter.hpp"
#include "kernel/event_log.hpp"
#include "serve/quota_limits.hpp"
#include "wire/planner_codec.hpp"

namespace boragehill::serve {

namespace {

constexpr std::size_t task_capacity = 256;
/// Plans at least so often, so that waits and loads that hang are seen.
constexpr milliseconds plan_interval{100};
/// After news; news that comes meanwhile is planned with it.
constexpr milliseconds plan_delay{8};
/// Routers needn't hear of a smaller change of an expectation.
constexpr milliseconds expectation_slack{200};
/// A router that read the planner's row may connect before this one has heard
/// that its write of the row took effect: after a restart of all processes that
/// takes some tenths of a second.
constexpr milliseconds lead_timeout{1000};
/// Between two tries to reach an agent.
constexpr milliseconds agent_retry_interval{300};

bool is_same_expectation(const std::map<std::string, time_point>& told,
                         const std::map<std::string, time_point>& news) {
  if (news.size() != told.size()) return false;
  return std::equal(news.begin(), news.end(), told.begin(),
                    [](const auto& one, const auto& other) {
                      return one.first == other.first &&
                             std::chrono::abs(one.second - other.second) <
                                 expectation_slack;
                    });
}

}  // namespace

planner_duty::planner_duty(const entry_settings& settings)
    : settings(settings),
      loop("planner", task_capacity),
      listener(this->loop.context(),
               [this](const std::shared_ptr<wire::message_link>& link) {
                 this->on_router(link);
               }),
      timer(this->loop.context()),
      planner(settings.planner),
      quotas(settings.quotas),
      slots({.queue_share = settings.queue_share}),
      view(settings.queue_share) {}

std::error_code planner_duty::start() {
  const auto error = this->listener.start(this->settings.link_address());
  if (error) return error;
  this->loop.start();
  return {};
}

void planner_duty::stop() {
  this->loop.stop();
}

void planner_duty::lead(std::int64_t new_term,
                        const fleet::quarantine_row& quarantine) {
  this->loop.post([this, new_term, quarantine] {
    kernel::log_event(kernel::event::planner_leads, {{"term", new_term}});
    this->term = new_term;
    this->leads_since = time_point::clock::now();
    this->planner.start(this->leads_since);
    // What an earlier term knew may be over; routers announce what holds.
    this->rate_limits = {};
    this->quotas.start(this->leads_since);
    this->set_quota_limits();
    this->slots.clear();
    this->view.clear();
    this->restore(quarantine);
    // What an earlier term told the agents must be told again under this one.
    for (auto& [address, each] : this->agents) each.told = {};
    this->link_agents();
    this->arm(plan_interval);
  });
}

void planner_duty::set_catalog(std::shared_ptr<const fleet::catalog> news) {
  this->loop.post([this, news = std::move(news)] {
    this->catalog = news;
    this->planner.set_catalog(news);
    this->set_quota_limits();
    if (this->term != 0) this->link_agents();
  });
}

void planner_duty::set_servers(std::shared_ptr<const fleet::server_list> news) {
  this->loop.post([this, news = std::move(news)] {
    this->servers = *news;
    std::erase_if(this->lost_workers, [this](const std::string& server) {
      return !this->servers.servers.contains(server);
    });
    this->rate_limits.keep_servers([this](const std::string& server) {
      return this->servers.servers.contains(server);
    });
    this->planner.set_servers(*news, time_point::clock::now());
    if (this->term == 0) return;
    this->link_agents();
    this->plan_soon();
  });
}

void planner_duty::on_router(const std::shared_ptr<wire::message_link>& link) {
  const auto number = ++this->next_router;
  link->on_events(
      [this, number](const Json::Value& message) {
        this->on_router_message(number, message);
      },
      [this, number] { this->on_router_gone(number); });
  auto& added = this->routers[number];
  added.link = link;
  added.linked_at = time_point::clock::now();
}

void planner_duty::on_router_message(std::uint64_t number,
                                     const Json::Value& message) {
  const auto found = this->routers.find(number);
  if (found == this->routers.end()) return;
  const bool may_lead_soon =
      time_point::clock::now() - found->second.linked_at < lead_timeout;
  if (this->term == 0 && !may_lead_soon) {
    // It follows a row that isn't ours any more.
    found->second.link->close();
    this->on_router_gone(number);
    return;
  }
  auto report = wire::decode_router_report(message);
  found->second.router = report.router;
  this->planner.on_demand_report(report.router, report.demand,
                                 time_point::clock::now());
  this->slots.on_report(report.router, report.demand);
  this->demands[report.router] = std::move(report.demand);
  this->rate_limits.on_report(report.router, report.rate_limits,
                              time_point::clock::now());
  if (report.quotas) {
    this->quotas.on_report(report.router, *report.quotas,
                           time_point::clock::now());
  }
  this->note_crashes(report);
  found->second.wanted_trials = std::move(report.wanted_trials);
  this->note_streams(report, found->second);
  this->plan_soon();
}

void planner_duty::on_router_gone(std::uint64_t number) {
  const auto found = this->routers.find(number);
  if (found == this->routers.end()) return;
  const std::string router = found->second.router;
  this->routers.erase(found);
  const bool linked_again = std::any_of(
      this->routers.begin(), this->routers.end(),
      [&](const auto& each) { return each.second.router == router; });
  if (linked_again) return;
  this->planner.on_router_removed(router);
  this->rate_limits.on_router_removed(router);
  this->quotas.on_router_removed(router, time_point::clock::now());
  this->slots.on_router_removed(router);
  this->demands.erase(router);
}

endpoint planner_duty::agent_address(
    const decide::planned_worker& worker) const {
  return {worker.list_entry.address.address, this->settings.link_port};
}

void planner_duty::link_agents() {
  std::set<endpoint> wanted;
  for (const auto& [id, worker] : this->planner.workers()) {
    // A new worker holds nothing and has no copies; the catalog tells that it
    // runs models.
    const auto* service =
        this->catalog ? this->catalog->find_service(worker.list_entry.service)
                      : nullptr;
    if (!service || !service->has_engine) continue;
    wanted.insert(this->agent_address(worker));
  }
  for (auto each = this->agents.begin(); each != this->agents.end();) {
    if (wanted.contains(each->first)) {
      ++each;
      continue;
    }
    each->second.link->close();
    each = this->agents.erase(each);
  }
  for (const auto& address : wanted) {
    if (!this->agents.contains(address)) this->connect_agent(address);
  }
}

void planner_duty::connect_agent(const endpoint& address) {
  const auto now = time_point::clock::now();
  const auto last = this->agent_retry.find(address);
  if (last != this->agent_retry.end() &&
      now - last->second < agent_retry_interval) {
    return;
  }
  this->agent_retry[address] = now;
  auto link = std::make_shared<wire::message_link>(this->loop.context());
  link->on_events(
      [this, address](const Json::Value& message) {
        this->on_agent_message(address, message);
      },
      [this, address] { this->agents.erase(address); });
  this->agents[address].link = link;
  link->connect(address);
}

std::string planner_duty::server_at(const endpoint& address,
                                    const std::string& told) const {
  if (this->servers.servers.contains(told)) return told;
  std::string found;
  for (const auto& [id, entry] : this->servers.servers) {
    if (entry.address.address == address.address) found = id;
  }
  return found;
}

void planner_duty::on_agent_message(const endpoint& address,
                                    const Json::Value& message) {
  const auto status = wire::decode_worker_status(message);
  if (status.term > this->term) return this->step_down(status.term);
  this->record_streams(status.streams, time_point::clock::now());
  const auto server = this->server_at(address, status.report.server);
  if (server.empty()) return;
  const auto now = time_point::clock::now();
  // A report of another lifetime than the listed one, under the same id: the
  // one or the other is late. Until both agree the worker is left alone; loads
  // decided for one and ordered from the other would overfill it.
  const bool same =
      this->servers.servers.at(server).may_have_sent(status.report);
  if (status.reachable && same) {
    this->lost_workers.erase(server);
    this->crashing_requests.on_server_responded(server, now);
    this->crashing_parts.on_server_responded(server, now);
    this->planner.on_report(server, status.report, now);
  } else {
    this->lost_workers.insert(server);
    this->planner.on_worker_unreachable(server);
  }
  this->plan_soon();
}

void planner_duty::step_down(std::int64_t higher) {
  if (this->term == 0) return;
  kernel::log_event(kernel::event::planner_replaced,
                    {{"term", this->term}, {"by", higher}});
  this->term = 0;
  this->timer.cancel();
  for (auto& [address, each] : this->agents) each.link->close();
  for (auto& [number, each] : this->routers) each.link->close();
  this->agents.clear();
  this->routers.clear();
  this->demands.clear();
  // Another planner may clear what is known here.
  this->crashing_requests = decide::crash_suspects(decide::request_settings);
  this->crashing_parts = decide::crash_suspects();
}

void planner_duty::plan_soon() {
  if (this->term == 0 || this->soon) return;
  this->soon = true;
  this->arm(plan_delay);
}

void planner_duty::arm(milliseconds wait) {
  this->timer.expires_after(wait);
  this->timer.async_wait([this](std::error_code cancelled) {
    if (!cancelled && this->term != 0) this->plan();
  });
}

void planner_duty::plan() {
  this->soon = false;
  this->link_agents();
  const auto limits = this->rate_limits.limits();
  this->planner.set_rate_limited_workers(
      [&](const std::string& server) { return limits.contains(server); });
  for (const auto& move : this->planner.step(time_point::clock::now())) {
    this->log_move(move);
  }
  this->judge_crashes(time_point::clock::now());
  this->publish_quarantine(time_point::clock::now());
  this->tell_agents();
  this->tell_routers();
  this->arm(plan_interval);
}

void planner_duty::log_move(const decide::load_decision& move) const {
  std::string victims;
  for (const auto& each : move.evicted_models) {
    if (!victims.empty()) victims += ',';
    victims += each;
  }
  kernel::log_event(kernel::event::residency_decided,
                    {{"model", move.model},
                     {"server", move.server},
                     {"term", this->term},
                     {"why", move.reason},
                     {"victims", victims},
                     {"load_ms", move.load_time.count()},
                     {"from_store", move.from_store},
                     {"cost_s", move.cost_seconds},
                     {"waiting", move.waiting},
                     {"flying", move.in_flight},
                     {"replicas", move.replicas}});
}

void planner_duty::tell_agents() {
  const auto now = time_point::clock::now();
  this->choose_agent_keepers();
  for (const auto& [id, worker] : this->planner.workers()) {
    if (!worker.report) continue;
    const auto found = this->agents.find(this->agent_address(worker));
    if (found == this->agents.end()) continue;
    if (!worker.report->server.empty() && worker.report->server != id) continue;
    wire::worker_target target{.term = this->term,
                               .server = id,
                               .born = worker.list_entry.born,
                               .service = worker.list_entry.service,
                               .target = worker.target};
    auto streams = this->untold_streams(found->second.keeper, now);
    if (target == found->second.told && streams.empty()) continue;
    found->second.told = target;
    target.streams = std::move(streams);
    found->second.link->send(wire::encode(target));
  }
}

std::map<std::string, int> planner_duty::requests_of(
    const std::string& router) const {
  std::map<std::string, int> requests;
  const auto found = this->demands.find(router);
  if (found == this->demands.end()) return requests;
  for (const auto& each : found->second.in_flight) {
    requests[each.server] += each.requests;
  }
  return requests;
}

std::map<std::string, time_point> planner_duty::expected_at(
    const std::string& router) const {
  const auto found = this->demands.find(router);
  if (found == this->demands.end()) return {};
  return decide::awaited_models(this->planner.expected_ready_times(),
                                found->second);
}

decide::slot_allocator::grant_map planner_duty::grant_slots(time_point now) {
  return this->slots.grant(
      this->planner.workers(),
      [](const decide::planned_worker& worker) {
        return worker.report && !worker.is_draining() &&
               !worker.is_unresponsive && !worker.is_rate_limited;
      },
      now);
}

void planner_duty::add_news(router_link& router,
                            const std::map<std::string, int>& own,
                            wire::view_update& update) const {
  router.told.resize(this->view.index_count());
  // Both are in the order of the workers' ids.
  auto next = own.begin();
  for (const auto& worker : this->view.workers()) {
    auto& told = router.told[worker.index];
    while (next != own.end() && next->first < *worker.id) ++next;
    const bool has_own = next != own.end() && next->first == *worker.id;
    const int mine = has_own ? next->second : 0;
    int others = worker.requests - mine + worker.granted;
    if (worker.granted > 0) {
      others -= this->slots.unconfirmed_of(*worker.id, router.router);
    }
    const bool same = told.models_version == worker.models_version;
    if (same && !decide::is_significant_change(told.other_requests, others,
                                               worker.capacity - mine)) {
      continue;
    }
    wire::server_view news{.server = *worker.id, .other_requests = others};
    if (!same) news.models = *worker.models;
    update.servers.push_back(std::move(news));
    told = {.models_version = worker.models_version, .other_requests = others};
  }
}

void planner_duty::set_quota_limits() {
  if (!this->catalog) return;
  this->quotas.set_limits(quota_limits_of(*this->catalog),
                          time_point::clock::now());
}

bool planner_duty::add_quotas(router_link& router,
                              decide::quota_allocator::grant_map& grants,
                              wire::view_update& update) {
  const auto found = grants.find(router.router);
  if (found == grants.end()) return false;
  const bool is_first = !std::exchange(router.knows_quotas, true);
  if (!is_first && found->second.grants.empty()) return false;
  update.quota_grants = std::exchange(found->second, {});
  return true;
}

void planner_duty::tell_routers() {
  const auto now = time_point::clock::now();
  const auto limits = this->rate_limits.limits();
  auto tokens = this->rate_limits.grant(now);
  auto quotas = this->quotas.grant(now);
  auto grants = this->grant_slots(now);
  this->view.update(this->planner.workers(), this->slots.unconfirmed());
  const auto crashing_requests = state_of(this->crashing_requests, now);
  const auto crashing_parts = state_of(this->crashing_parts, now);
  this->choose_keepers();
  for (auto& [number, each] : this->routers) {
    if (each.router.empty()) continue;
    const auto own = this->requests_of(each.router);
    const int count = static_cast<int>(this->demands.size());
    wire::view_update update{
        .term = this->term, .routers = count, .whole = !each.greeted};
    this->add_news(each, own, update);
    const auto expected = this->expected_at(each.router);
    const bool same = is_same_expectation(each.expected, expected);
    const bool same_limits = each.rate_limits == limits;
    const bool same_count = std::exchange(each.told_routers, count) == count;
    const bool same_requests = !add_suspects(
        crashing_requests, each.crashing_requests,
        {update.quarantined_requests, update.suspected_requests}, now);
    const bool same_parts =
        !add_suspects(crashing_parts, each.crashing_parts,
                      {update.quarantined_parts, update.suspected_parts}, now);
    this->answer_streams(each, update, now);
    for (const auto& [stream, origin] :
         this->untold_streams(each.keeper, now)) {
      update.streams[stream] = origin;
    }
    update.trials =
        this->trials.grant(std::exchange(each.wanted_trials, {}), now);
    // A router may have two links for a moment; one of them gets its tokens.
    update.tokens = std::exchange(tokens[each.router], {});
    const bool same_quotas = !add_quotas(each, quotas, update);
    update.grants = std::exchange(grants[each.router], {});
    if (!update.grants.empty()) update.grant_round = this->slots.round();
    if (update.servers.empty() && update.tokens.empty() &&
        update.grants.empty() && update.trials.empty() &&
        !update.tells_of_streams() && each.greeted && same && same_limits &&
        same_count && same_requests && same_parts && same_quotas) {
      continue;
    }
    if (!same_limits) {
      update.rate_limits = limits;
      each.rate_limits = limits;
    }
    if (!same) each.expected = expected;
    for (const auto& [model, at] : expected) {
      update.expected.push_back(
          {.model = model,
           .ready_in = std::chrono::ceil<milliseconds>(at - now)});
    }
    each.greeted = true;
    each.link->send(wire::encode(update));
  }
  this->new_streams.clear();
}

}  // namespace boragehill::serve
