#include "serve/dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "fleet/request_codec.hpp"
#include "kernel/event_log.hpp"
#include "kernel/random.hpp"
#include "serve/exchange.hpp"
#include "serve/quota_limits.hpp"

namespace boragehill::serve {

namespace {

/// Part of a server's connections that the routers share among them.
constexpr double connection_share = 0.9;
constexpr std::size_t fewest_connections = 4;
/// Until a planner has told how many there are.
constexpr int first_router_guess = 4;
/// A model that was just added is known here after a second or two.
constexpr milliseconds next_catalog{1500};

/// An answer names the request, not which of its sends it belongs to.
idle_use idle_use_for(const exchange& request, const server_state& server) {
  const bool is_told_apart = !request.fields().attempt.empty() &&
                             !request.sends().was_sent_to(server.entry.id);
  if (!is_told_apart) return idle_use::none;
  return request.at_most_once() ? idle_use::young : idle_use::any;
}

}  // namespace

dispatcher::dispatcher(asio::io_context& context,
                       const entry_settings& settings,
                       const fleet::request_codec& codec,
                       entry_metrics& metrics)
    : settings(settings),
      headers(codec),
      metrics(metrics),
      pool(context),
      context(context),
      routers(settings.budget.window),
      quotas(settings.quotas) {}

void dispatcher::set_catalog(std::shared_ptr<const fleet::catalog> news) {
  this->known_catalog = std::move(news);
  this->metrics.set_catalog_version(
      static_cast<double>(this->known_catalog->version));
  kernel::log_event(kernel::event::revision_applied,
                    {{"revision", this->known_catalog->version},
                     {"routes", this->known_catalog->routes.size()},
                     {"services", this->known_catalog->services.size()},
                     {"accounts", this->known_catalog->accounts.all().size()}});
  for (const auto& each : this->known_catalog->services) {
    this->budget_of(each.name);
  }
  this->quotas.set_limits(quota_limits_of(*this->known_catalog));
  this->serve_waiting();
}

void dispatcher::set_servers(const fleet::server_list& list) {
  for (auto& [id, state] : this->servers) {
    if (!state.listed || list.servers.contains(id)) continue;
    kernel::log_event(kernel::event::server_gone,
                      {{"server", id},
                       {"version", list.version},
                       {"requests", state.requests.size()}});
    this->pool.forget(id);
    this->health.forget(id);
    this->reachability.forget(id);
    this->rate_limited.forget(id);
    state.listed = false;
  }
  this->drop_unlisted();
  for (const auto& [id, entry] : list.servers) {
    auto& state = this->servers[id];
    const bool leaves = entry.draining && !state.entry.draining;
    if (!state.listed) {
      state.listed = true;
      state.told.reset();
      state.replaced = false;
      kernel::log_event(kernel::event::server_listed,
                        {{"server", id},
                         {"service", entry.service},
                         {"address", entry.address.to_string()},
                         {"software", entry.software},
                         {"version", list.version}});
    }
    if (leaves) {
      kernel::log_event(
          kernel::event::server_leaving,
          {{"server", id}, {"by", "list"}, {"version", list.version}});
    }
    state.entry = entry;
  }
  this->servers_known = true;
  this->software.on_listed(list, time_point::clock::now());
  this->metrics.set_servers(static_cast<double>(list.servers.size()));
  this->serve_waiting();
}

void dispatcher::drop_unlisted() {
  std::erase_if(this->servers, [](const auto& each) {
    return !each.second.listed && each.second.requests.empty();
  });
}

void dispatcher::on_view(const wire::view_update& update) {
  this->planner_linked = true;
  for (const auto& each : update.servers) {
    const auto found = this->servers.find(each.server);
    if (found == this->servers.end()) continue;
    if (each.models) found->second.told = *each.models;
    found->second.other_requests = each.other_requests;
  }
  this->expected.clear();
  const auto now = time_point::clock::now();
  this->routers.on_told(std::max(update.routers, 1), now);
  for (const auto& each : update.expected) {
    this->expected[each.model] = now + each.ready_in;
  }
  // The first update on a link may be a new planner's, who knows of no crash.
  if (update.whole) {
    this->grant_round = 0;
    this->interruptions.report_again();
    this->tells_quarantined = true;
    this->rate_limited.announce_again(now);
    this->new_streams = this->streams.all(now);
  }
  if (update.rate_limits) {
    this->rate_limited.on_planner_limits(*update.rate_limits, now);
  }
  for (const auto& each : update.tokens) {
    this->rate_limited.on_tokens(each, now);
  }
  this->on_quota_news(update, now);
  this->on_crash_news(update, now);
  this->on_stream_news(update, now);
  this->metrics.set_planner_term(static_cast<double>(update.term));
  if (update.grant_round > 0) {
    this->grant_round = update.grant_round;
    this->use_grants(update.grants);
  }
  this->serve_waiting();
  this->judge_waiting();
}

void dispatcher::on_planner_lost() {
  const auto now = time_point::clock::now();
  this->routers.on_planner_lost(now);
  this->use_local_quotas(now);
  this->planner_linked = false;
  this->settle_versions();
  this->crashing_requests.on_planner_lost();
  this->prompt_parts.on_planner_lost();
  this->grant_round = 0;
  this->expected.clear();
  for (auto& [id, state] : this->servers) {
    state.told.reset();
    state.other_requests = 0;
  }
}

dispatcher::demand_key dispatcher::key_of(const exchange& request) {
  return {request.service(), request.fields().model, request.fields().adapter};
}

bool dispatcher::knows_model(const exchange& request) const {
  const auto& model = request.fields().model;
  const auto* service = this->known_catalog->find_service(request.service());
  if (model.empty() || !service || !service->has_engine) return true;
  const auto* found = service->find_model(model);
  const auto& adapter = request.fields().adapter;
  return found && (adapter.empty() || found->has_adapter(adapter));
}

std::optional<dispatcher::refusal> dispatcher::barred(const exchange& request,
                                                      time_point now) const {
  if (decide::is_unknown(request.versions())) {
    return refusal{result_code::no_server,
                   "the software version that began the stream isn't known",
                   milliseconds(0)};
  }
  if (!this->knows_model(request)) {
    return refusal{result_code::unknown_model,
                   "no such model in the configuration", next_catalog};
  }
  if (this->crashing_requests.is_quarantined({request.fingerprint()}, now)) {
    // Nothing is said of coming back: it would only be refused again.
    return refusal{result_code::request_convicted,
                   "this request crashes servers", milliseconds(0)};
  }
  if (this->prompt_parts.is_quarantined(request.fields().prompt_parts, now)) {
    return refusal{result_code::request_convicted,
                   "a part of its prompt crashes servers", milliseconds(0)};
  }
  return std::nullopt;
}

void dispatcher::place(const std::shared_ptr<exchange>& request) {
  const bool is_new = !request->sends().was_attempted();
  const auto now = time_point::clock::now();
  if (is_new && request->takes_up_stream()) {
    this->bind_version(*request, this->binding_of(*request, now), now);
  }
  const auto barred = this->barred(*request, now);
  if (barred) {
    return request->refuse(barred->code, barred->reason, barred->retry_after);
  }
  if (is_new) {
    this->metrics.on_accepted();
    this->budget_of(request->service()).on_request(request->request().received);
    ++this->arrivals[key_of(*request)];
    if (this->has_accounts()) {
      this->shares.on_request(account_name(*request), now);
    }
  }
  this->seek_server(request);
}

void dispatcher::seek_server(const std::shared_ptr<exchange>& request) {
  if (this->try_send(request)) return;
  const auto vain = this->in_vain(*request, time_point::clock::now());
  if (vain && vain->code != result_code::deadline_unreachable) {
    return request->refuse(vain->code, vain->reason, vain->retry_after);
  }
  const auto now = time_point::clock::now();
  if (this->lacks_quota(*request, now) && this->find_server(*request, now)) {
    const double queued = this->queued_cost(request->account()->name);
    if (const auto over = this->over_quota(*request, queued, now)) {
      return request->refuse(over->code, over->reason, over->retry_after);
    }
  }
  this->wait_in_line(request);
}

bool dispatcher::can_take(const server_state& server, const exchange& request,
                          time_point now) const {
  return this->is_available(server, request, now) &&
         this->rate_limited.may_send(server.entry.id, now);
}

bool dispatcher::is_available(const server_state& server,
                              const exchange& request, time_point now) const {
  return this->suits(server, request) &&
         !this->may_be_gone(server, request, now) &&
         !server.silence.is_suspected() &&
         !this->resting.until(server.entry.id, now);
}

bool dispatcher::may_be_gone(const server_state& server,
                             const exchange& request, time_point now) const {
  if (server.silence.is_interrupted()) return true;
  // A retry there would take a credit of the budget in vain.
  return request.sends().was_interrupted_by(server.entry.id) &&
         this->reachability.suspect(server.entry.id, now);
}

bool dispatcher::suits(const server_state& server,
                       const exchange& request) const {
  return !request.sends().has_tried(server.entry.id) &&
         this->holds_what_it_needs(server, request);
}

bool dispatcher::holds_what_it_needs(const server_state& server,
                                     const exchange& request) const {
  if (server.entry.service != request.service()) return false;
  if (!this->takes_new(server)) return false;
  if (!decide::allows(request.versions(), server.entry.software)) return false;
  const auto& asked = request.fields();
  if (asked.model.empty()) return true;
  return server.serves(asked.model, asked.adapter, this->planner_linked);
}

bool dispatcher::may_get_server(const exchange& request) const {
  // Which models a worker will hold changes; that it serves the service and
  // hasn't failed this request doesn't.
  return std::any_of(
      this->servers.begin(), this->servers.end(), [&](const auto& each) {
        const auto& server = each.second;
        return server.entry.service == request.service() &&
               this->takes_new(server) &&
               decide::allows(request.versions(), server.entry.software) &&
               !request.sends().has_tried(each.first);
      });
}

bool dispatcher::takes_new(const server_state& server) const {
  return server.takes_new() && !this->leaving.contains(server.entry.id);
}

bool dispatcher::send(const std::shared_ptr<exchange>& request,
                      server_state& server, time_point now) {
  if (!this->may_send_retry(*request, now)) return false;
  const auto connection = this->pool.take(
      server.entry.id, server.entry.address, idle_use_for(*request, server),
      this->most_connections(request->service()));
  if (!connection) return false;
  if (request->holds_retry()) this->account_retry(*request, server, now);
  this->account_trial(*request, server, now);
  this->rate_limited.on_sent(server.entry.id, now);
  this->charge_quota(*request, now);
  if (this->has_accounts() && !request->sends().was_attempted()) {
    this->shares.on_sent(account_name(*request), now);
  }
  server.requests.emplace(request.get(), request);
  this->on_work_sent(*request, server);
  server.silence.responses().on_sent(request->fields().prompt_tokens, now);
  ++this->flights[{server.entry.id, request->fields().model,
                   request->fields().adapter}];
  this->note_stream(*request, server.entry.software, now);
  this->log_sent_while_stopping(*request, server.entry.id, now);
  request->send_to(server.entry, connection);
  return true;
}

bool dispatcher::may_send_retry(const exchange& request, time_point now) {
  if (!request.holds_retry()) return true;
  return this->budget_of(request.service())
      .may_send_retry(now, this->routers.value(now));
}

void dispatcher::account_retry(const exchange& request,
                               const server_state& server, time_point now) {
  this->budget_of(request.service()).on_retry_sent();
  this->metrics.on_retry_sent(request.service());
  kernel::log_event(kernel::event::retry_sent,
                    {{"request", request.fields().attempt},
                     {"service", request.service()},
                     {"server", server.entry.id},
                     {"software", server.entry.software},
                     {"sends", request.sends().attempt_count()},
                     {"waited_ms", ms_between(request.retry_granted(), now)}});
}

bool dispatcher::try_send(const std::shared_ptr<exchange>& request) {
  if (this->sending_paused) return false;
  const auto now = time_point::clock::now();
  auto* server = this->find_server(*request, now);
  // One that may not start is refused, or ends with its caller's close or with
  // its limit, where it waits.
  return server && this->may_start(*request, now) &&
         this->send(request, *server, now);
}

std::size_t dispatcher::most_connections(const std::string& service) const {
  const auto* found = this->known_catalog
                          ? this->known_catalog->find_service(service)
                          : nullptr;
  if (!found || found->max_connections <= 0) return fewest_connections;
  const double share = found->max_connections * connection_share /
                       this->assumed_routers(time_point::clock::now());
  return std::max(static_cast<std::size_t>(share), fewest_connections);
}

void dispatcher::on_left(const exchange& request) {
  const auto found = this->servers.find(request.server());
  if (found != this->servers.end()) {
    found->second.requests.erase(&request);
    this->on_work_left(request, found->second);
    auto& answers = found->second.silence.responses();
    if (request.unanswered()) {
      answers.on_unstarted_request_removed(request.fields().prompt_tokens);
    } else {
      answers.on_started_request_removed();
    }
  }
  const flight_key key{request.server(), request.fields().model,
                       request.fields().adapter};
  const auto flight = this->flights.find(key);
  if (flight != this->flights.end() && --flight->second <= 0) {
    this->flights.erase(flight);
  }
  if (found != this->servers.end()) {
    this->reuse_slot(found->second);
  } else if (!this->lines.empty()) {
    this->serve_waiting();
  }
}

void dispatcher::on_server_replaced(const exchange& request) {
  const auto found = this->servers.find(request.server());
  if (found == this->servers.end()) return;
  this->mark_replaced(found->second, request.fields().attempt);
}

void dispatcher::mark_replaced(server_state& server, const std::string& by) {
  if (server.replaced) return;
  server.replaced = true;
  kernel::log_event(kernel::event::server_replaced,
                    {{"server", server.entry.id},
                     {"request", by},
                     {"address", server.entry.address.to_string()}});
  this->pool.forget(server.entry.id);
}

void dispatcher::on_model_missing(const exchange& request) {
  const auto found = this->servers.find(request.server());
  if (found == this->servers.end()) return;
  const auto& asked = request.fields();
  found->second.forget(asked.model, asked.adapter);
}

bool dispatcher::take_repeat(const exchange& request) {
  const auto now = time_point::clock::now();
  auto& budget = this->budget_of(request.service());
  const auto sharing = this->routers.value(now);
  const double left = budget.retries_left(now, sharing);
  const bool granted = budget.grant_retry(now, sharing);
  kernel::log_event(kernel::event::retry,
                    {{"request", request.fields().attempt},
                     {"service", request.service()},
                     {"server", request.last_server()},
                     {"sends", request.sends().attempt_count()},
                     {"granted", granted},
                     {"left", left},
                     {"routers", sharing.value_or(0)},
                     {"age_ms", ms_between(this->created, now)}});
  granted ? this->metrics.on_repeat() : this->metrics.on_repeat_denied();
  return granted;
}

int dispatcher::assumed_routers(time_point now) const {
  return this->routers.last_known(now).value_or(first_router_guess);
}

decide::windowed_retry_budget& dispatcher::budget_of(
    const std::string& service) {
  return this->budgets.try_emplace(service, this->settings.budget)
      .first->second;
}

void dispatcher::tidy() {
  this->streams.drop_expired(time_point::clock::now());
  this->pool.drop_old();
  this->drop_unlisted();
  this->metrics.set_connections(static_cast<double>(this->pool.open()));
  this->metrics.set_waiting(static_cast<double>(this->waiting()));
  const auto now = time_point::clock::now();
  this->end_exhausted_quotas(now);
  const auto sharing = this->routers.value(now);
  this->metrics.set_budget_routers(sharing.value_or(0));
  for (auto& [service, budget] : this->budgets) {
    this->metrics.set_retries_left(service, budget.retries_left(now, sharing));
  }
}

std::size_t dispatcher::waiting() const {
  std::size_t count = 0;
  for (const auto& [key, line] : this->lines) count += line.size();
  return count;
}

std::size_t dispatcher::running() const {
  std::size_t count = 0;
  for (const auto& [key, requests] : this->flights) {
    count += static_cast<std::size_t>(requests);
  }
  return count;
}

}  // namespace boragehill::serve
