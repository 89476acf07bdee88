#include "router/placement_duty.hpp"

#include <algorithm>
#include <numeric>
#include <thread>
#include <utility>

#include "decide/catalog.hpp"
#include "decide/placement_choice.hpp"
#include "decide/target_name.hpp"
#include "kernel/event_log.hpp"
#include "router/fleet.hpp"
#include "router/home_duty.hpp"
#include "router/published_config.hpp"
#include "wire/field_codec.hpp"
#include "wire/retire_order.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill::router {

namespace {

constexpr std::size_t ring_capacity = 4096;
/// How old the servers' rows may be for choosing where a grant goes; the write
/// itself is guarded by rows read just before it.
constexpr milliseconds servers_keep{2000};
constexpr int conflict_tries = 4;
/// A server that starts with this router writes its row within this.
constexpr milliseconds registration_limit{2000};
constexpr milliseconds registration_poll{20};
/// How many of a model's homes write its grants: were it all routers, a new
/// model would make hundreds of them race for two rows.
constexpr std::size_t placing_homes = 2;

std::uint64_t granted_bytes(const server_record& record) {
  return std::accumulate(
      record.grants.begin(), record.grants.end(), std::uint64_t{0},
      [](std::uint64_t sum, const grant& g) { return sum + g.bytes; });
}

}  // namespace

placement_duty::placement_duty(placement_store& rows, fleet& all,
                               published_config& published, home_duty& own_home,
                               wire::rpc_client& client,
                               kernel::task_pool& pool, milliseconds interval,
                               milliseconds timeout)
    : store(rows),
      members(all),
      config(published),
      home(own_home),
      rpc(client),
      calls(pool),
      call_timeout(timeout),
      worker(
          "placement", ring_capacity, interval,
          [this](placement_message& message) {
            std::visit([this](const auto& each) { this->handle(each); },
                       message);
          },
          [this] { this->poll(); }) {}

void placement_duty::handle(const decide::request_grants& wanted) {
  const auto published = this->config.current();
  const auto* spec = published->spec_of(wanted.model);
  if (spec == nullptr || !this->may_place(wanted.model)) return;
  // Grants don't move. Written while only the first server of a fleet that
  // starts had its row, they all stood there, where the models drove each other
  // out while the other servers stood idle.
  if (wanted.is_proactive && this->awaits_servers()) {
    this->worker.post(wanted);
    return;
  }
  for (int attempt = 0; attempt < conflict_tries; ++attempt) {
    const auto current = this->store.read(wanted.model);
    if (!current) return;
    if (!this->refresh_servers(attempt > 0)) return;
    const auto chosen = this->choose(wanted, *spec, current.value());
    if (chosen.empty()) {
      this->show(current.value());
      if (current.value().servers.size() < wanted.count) {
        kernel::log_event(kernel::event::grant_unplaceable,
                          {{"model", wanted.model}, {"reason", wanted.reason}});
      }
      return;
    }
    const auto written = this->store.add(
        chosen.front(), {.model = wanted.model, .bytes = spec->bytes});
    if (!written) {
      kernel::log_event(kernel::event::write_conflict,
                        {{"model", wanted.model}, {"error", written.error()}});
      continue;
    }
    ++this->added;
    this->count_grant(chosen.front(),
                      {.model = wanted.model, .bytes = spec->bytes});
    kernel::log_event(kernel::event::grant_added, {{"model", wanted.model},
                                                   {"server", chosen.front()},
                                                   {"reason", wanted.reason}});
    this->show(written.value());
    this->hint(chosen.front());
    if (written.value().servers.size() >= wanted.count) return;
    attempt = 0;
  }
}

bool placement_duty::may_place(const std::string& model) const {
  const auto homes = this->members.homes(
      decide::model_target(model), placing_homes, time_point::clock::now());
  return std::any_of(homes.begin(), homes.end(), [this](const vm_info& vm) {
    return vm.id == this->members.self().id;
  });
}

void placement_duty::handle(const given_up_message& given) {
  const auto written =
      this->store.remove(given.server, given.model, given.given);
  if (!written) return;
  ++this->removed;
  kernel::log_event(kernel::event::grant_removed,
                    {{"model", given.model},
                     {"server", given.server},
                     {"reason", "given up by its agent"}});
  this->show(written.value());
  this->hint(given.server);
}

void placement_duty::handle(const look_message& order) {
  (void)order;
  this->poll();
}

void placement_duty::poll() {
  const time_point now = time_point::clock::now();
  const auto published = this->config.current();
  std::set<std::string> models;
  for (const auto& [name, spec] : published->models()) models.insert(name);
  // Models that no profile names any more still hold grants to take back.
  for (const auto& [name, row] : this->known) models.insert(name);
  for (const auto& model : models) {
    const auto homes = this->members.homes(decide::model_target(model), 1, now);
    const bool own =
        !homes.empty() && homes.front().id == this->members.self().id;
    if (!own) {
      this->known.erase(model);
      continue;
    }
    this->poll_model(model, published->spec_of(model));
  }
}

void placement_duty::poll_model(const std::string& model,
                                const decide::model_spec* spec) {
  const auto current = this->store.read(model);
  if (!current) return;
  this->show(current.value());
  this->remove_gone_grants(current.value());
  const std::uint32_t most = spec == nullptr ? 0 : spec->max_replicas;
  this->retire_excess(current.value(), most);
}

void placement_duty::remove_gone_grants(const placement& current) {
  const time_point now = time_point::clock::now();
  for (const auto& server : current.servers) {
    if (!this->members.is_gone(server, now)) continue;
    // The list lags, so the VM itself is asked before its replica counts as
    // gone: a grant taken back too early is one replica too many.
    if (const auto vm = this->members.find(server)) {
      const auto alive =
          this->rpc.call(vm->control, "agent.status", {}, this->call_timeout);
      if (alive) continue;
    }
    kernel::log_event(kernel::event::vm_gone,
                      {{"vm", server}, {"model", current.model}});
    const auto written = this->store.remove_gone(server, current.model);
    if (!written) continue;
    ++this->removed;
    kernel::log_event(kernel::event::grant_removed,
                      {{"model", current.model},
                       {"server", server},
                       {"reason", "its VM is gone"}});
    this->show(written.value());
  }
}

void placement_duty::retire_excess(const placement& current,
                                   std::uint32_t most) {
  const time_point now = time_point::clock::now();
  std::vector<std::string> standing;
  for (const auto& server : current.servers) {
    const bool counts = !this->members.is_suspected(server, now) &&
                        !this->members.is_leaving(server);
    if (counts) standing.push_back(server);
  }
  for (std::size_t i = most; i < standing.size(); ++i) {
    this->call_agent(standing[i], "agent.retire", current.model);
  }
}

std::vector<std::string> placement_duty::choose(
    const decide::request_grants& wanted, const decide::model_spec& spec,
    const placement& current) {
  const time_point now = time_point::clock::now();
  decide::placement_request request{.model = wanted.model,
                                    .bytes = spec.bytes,
                                    .wanted_grants = spec.replicas,
                                    .max_grants = wanted.count,
                                    .pool = {},
                                    .granted_servers = current.servers,
                                    .servers = {}};
  request.wanted_grants = std::max(spec.replicas, wanted.count);
  for (const auto& record : this->servers) {
    const auto vm = this->members.find(record.id);
    const bool listed =
        vm.has_value() && !this->members.is_gone(record.id, now);
    const bool silent = std::find(wanted.uncounted_servers.begin(),
                                  wanted.uncounted_servers.end(),
                                  record.id) != wanted.uncounted_servers.end();
    request.servers.push_back(
        {.id = record.id,
         .failure_domain = record.failure_domain,
         .region = vm ? vm->region : std::string{},
         .pool = record.pool,
         .capacity_bytes = record.capacity_bytes,
         .free_bytes = record.capacity_bytes,
         .granted_bytes = granted_bytes(record),
         .draining = !listed || this->members.is_leaving(record.id),
         .suspected = silent || this->members.is_suspected(record.id, now)});
  }
  return decide::choose_grant_servers(request);
}

bool placement_duty::refresh_servers(bool force) {
  const time_point now = time_point::clock::now();
  const bool fresh =
      !this->servers.empty() && now - this->servers_read_at < servers_keep;
  if (fresh && !force) return true;
  auto read = this->store.read_servers();
  if (!read) return !this->servers.empty();
  this->servers = std::move(read.value());
  this->servers_read_at = now;
  return true;
}

bool placement_duty::all_registered() const {
  const auto listed = this->members.servers(time_point::clock::now());
  return std::all_of(listed.begin(), listed.end(), [this](const vm_info& vm) {
    if (vm.role != vm_role::model_server) return true;
    return std::any_of(
        this->servers.begin(), this->servers.end(),
        [&vm](const server_record& each) { return each.id == vm.id; });
  });
}

bool placement_duty::awaits_servers() {
  const auto age = time_point::clock::now() - this->started;
  if (age >= registration_limit || this->all_registered()) return false;
  std::this_thread::sleep_for(registration_poll);
  this->refresh_servers(true);
  return !this->all_registered();
}

void placement_duty::count_grant(const std::string& server,
                                 const grant& added) {
  // Many models ask within the time that the rows are kept. Chosen by rows as
  // they were read, all would crowd onto the servers that were emptiest then
  // and evict each other while the rest stands idle.
  for (server_record& record : this->servers) {
    if (record.id == server) record.grants.push_back(added);
  }
}

void placement_duty::show(const placement& current) {
  this->known[current.model] = current;
  this->home.post(
      servers_message{decide::model_target(current.model), current.servers});
}

void placement_duty::hint(const std::string& server) {
  this->call_agent(server, "agent.grants", {});
}

void placement_duty::call_agent(const std::string& server,
                                const std::string& method,
                                const std::string& model) {
  const auto vm = this->members.find(server);
  if (!vm) return;
  const wire::retire_order order{.model = model};
  this->calls.try_post([this, control = vm->control, method, order] {
    (void)this->rpc.call(control, method, wire::to_json(order),
                         this->call_timeout);
  });
}

}  // namespace boragehill::router
