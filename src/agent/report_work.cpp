#include "agent/report_work.hpp"

#include <algorithm>
#include <utility>

#include <boragehill/vm_list.hpp>

#include "agent/brain_link.hpp"
#include "agent/report_routes.hpp"
#include "kernel/event_log.hpp"
#include "wire/field_codec.hpp"

namespace boragehill::agent {

namespace {

constexpr milliseconds call_timeout{300};
/// A router that did not answer is left alone so long: each call to a frozen
/// one would hold up the reports to all others.
constexpr milliseconds silence_after_failure{1000};

std::int64_t clock_ms(time_point now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
      .count();
}

}  // namespace

report_work::report_work(const agent_settings& settings, vm_list& vms,
                         const brain_link& brain,
                         std::function<void()> on_leaving)
    : settings(settings),
      vms(&vms),
      brain(&brain),
      on_leaving(std::move(on_leaving)),
      client(wire::rpc_client_settings{.connect_timeout = call_timeout}) {}

void report_work::set_endpoints(const endpoint& control, const endpoint& data) {
  this->settings.advertised_control = control;
  this->settings.advertised_data = data;
}

void report_work::tick() {
  const time_point now = time_point::clock::now();
  if (now >= this->next_poll) this->poll_list(now);
  if (this->hurried.exchange(false) || now >= this->next_report) {
    this->next_report = now + this->settings.report_interval;
    this->report(now);
  }
}

void report_work::poll_list(time_point now) {
  this->next_poll = now + this->settings.vm_list_poll;
  auto list = this->vms->list();
  // A list that cannot be read, or is empty, is an outage of the platform and
  // no news of the routers: the last one is kept.
  if (!list || list.value().empty()) return;
  this->known = std::move(list).value();
  const bool leaving = std::any_of(
      this->known.begin(), this->known.end(), [this](const vm_info& vm) {
        return vm.id == this->settings.id && vm.state == vm_state::leaving;
      });
  if (leaving) this->on_leaving();
}

void report_work::report(time_point now) {
  const auto view = this->brain->ask<brain_view>(
      [](auto reply) { return view_asked{std::move(reply)}; });
  if (!view) return;
  const auto routes = routes_of(this->targets_of(*view), this->known);
  for (const auto& [router, targets] : routes.by_router) {
    this->send(router, this->report_for(targets, *view, now), now);
  }
}

std::vector<std::string> report_work::targets_of(const brain_view& view) const {
  if (this->settings.kind == server_kind::plain) {
    return {"pool:" + this->settings.pool};
  }
  std::vector<std::string> targets;
  targets.reserve(view.replicas.size() + view.given_up.size());
  for (const auto& replica : view.replicas) {
    targets.push_back("model:" + replica.name);
  }
  for (const auto& [model, serial] : view.given_up) {
    targets.push_back("model:" + model);
  }
  return targets;
}

wire::agent_report report_work::report_for(const std::set<std::string>& targets,
                                           const brain_view& view,
                                           time_point now) const {
  wire::agent_report report{
      .server = this->settings.id,
      .fence = view.fence,
      .incarnation = view.incarnation,
      .now_ms = clock_ms(now),
      .control = this->settings.advertised_control,
      .data = this->settings.advertised_data,
      .failure_domain = this->settings.failure_domain,
      .region = this->settings.region,
      .pool = this->settings.pool,
      .model_server = this->settings.kind == server_kind::model,
      .capacity_bytes = view.capacity_bytes,
      .free_bytes = view.free_bytes,
      .evictable_bytes = view.evictable_bytes,
      .slots = view.slots,
      .running = view.running,
      .draining = view.draining,
      .backend_up = view.backend_up,
      .cached = view.cached};
  for (const auto& replica : view.replicas) {
    if (targets.contains("model:" + replica.name)) {
      report.replicas.push_back(replica);
    }
  }
  for (const auto& [model, serial] : view.given_up) {
    if (targets.contains("model:" + model)) report.given_up[model] = serial;
  }
  return report;
}

void report_work::send(const endpoint& router, const wire::agent_report& report,
                       time_point now) {
  const auto silent = this->silent_until.find(router);
  if (silent != this->silent_until.end()) {
    if (now < silent->second) return;
  }
  const auto answer = this->client.call(router, "home.report",
                                        wire::to_json(report), call_timeout);
  const bool was_silent = silent != this->silent_until.end();
  if (answer) {
    if (was_silent) {
      kernel::log_event(kernel::event::peer_back,
                        {{"peer", router.to_string()}});
      this->silent_until.erase(router);
    }
    return;
  }
  if (!was_silent) {
    kernel::log_event(kernel::event::peer_lost,
                      {{"peer", router.to_string()}, {"code", answer.error()}});
  }
  this->silent_until[router] = now + silence_after_failure;
}

}  // namespace boragehill::agent
