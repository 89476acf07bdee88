#include "world.hpp"

#include <boragehill/placement.hpp>

#include "sim_agent.hpp"
#include "sim_router.hpp"

namespace boragehill::fault {

namespace {

constexpr milliseconds list_lag{2000};
constexpr milliseconds restart_after{3000};
constexpr milliseconds reclaim_after{8000};
constexpr milliseconds freeze_time{10000};
constexpr milliseconds cut_time{3000};
constexpr milliseconds outage{10000};
constexpr milliseconds between_faults{1000};

vm_info make_vm(const std::string& id, vm_role role, std::uint16_t port) {
  return {.id = id,
          .role = role,
          .control = {"10.0.0.1", port},
          .data = {"10.0.0.1", port},
          .failure_domain = "domain-" + id,
          .region = {},
          .pool = {}};
}

}  // namespace

world::world(breakage kind) : table(this->time), broken(kind) {
  std::uint16_t port = 1;
  const auto add = [&](const std::string& id, vm_role role) {
    this->vms.push_back({make_vm(id, role, port++), std::nullopt});
    return this->vms.back().info;
  };
  for (std::size_t i = 1; i <= router_count; ++i) {
    this->routers.push_back(std::make_unique<sim_router>(
        *this, add("r" + std::to_string(i), vm_role::router)));
  }
  for (std::size_t i = 1; i <= agent_count; ++i) {
    this->agents.push_back(std::make_unique<sim_agent>(
        *this, add("s" + std::to_string(i), vm_role::model_server)));
    fake_engine& engine = this->agents.back()->engine;
    engine.poison = &this->poison;
    engine.store_slow_until = &this->store_slow_until;
    engine.on_change = [this] { this->check(); };
  }
  this->table.on_change = [this] { this->check(); };
}

world::~world() = default;

void world::arm(step where, std::vector<trouble> what, int nth) {
  this->armed = where;
  this->steps_to_go = nth;
  this->troubles = std::move(what);
}

void world::at(step where, process& in, const std::string& request) {
  constexpr milliseconds settle_in{3000};
  // What comes later shows that the system recovers.
  constexpr milliseconds last_fault{50000};
  if (this->armed != where) return;
  const auto age = this->time.now - (time_point{} + std::chrono::hours(1));
  if (age < settle_in || age > last_fault) return;
  if (--this->steps_to_go > 0) return;
  this->armed.reset();
  this->reached = true;
  this->seen.loads_since = 0;
  milliseconds wait{0};
  for (const auto what : this->troubles) {
    if (wait.count() == 0) {
      this->inject(what, in, request);
    } else {
      this->time.outside(wait, [this, what, &in, request] {
        this->inject(what, in, request);
      });
    }
    wait += between_faults;
  }
}

void world::inject(trouble what, process& in, const std::string& request) {
  const time_point now = this->time.now;
  switch (what) {
    case trouble::kill:
      this->time.kill(in);
      return this->restart_later(in);
    case trouble::cut:
      in.cut_until = now + cut_time;
      return;
    case trouble::freeze:
      in.frozen_until = now + freeze_time;
      this->thaws[in.name] = in.frozen_until;
      return;
    case trouble::table_down:
      this->table.down_until = now + outage;
      return;
    case trouble::table_slow:
      this->table.slow_until = now + outage;
      return;
    case trouble::answer_lost:
      this->table.lose_answer = true;
      return;
    case trouble::two_operators:
      return this->publish_two();
    case trouble::vm_reclaimed:
      return this->reclaim(in);
    case trouble::store_slow:
      this->store_slow_until = now + outage * 2;
      return;
    case trouble::engine_crash:
      break;
  }
  const auto found = this->seen.requests.find(request);
  const bool ahead =
      found != this->seen.requests.end() && found->second.runs == 0;
  if (ahead) {
    this->poison.insert(found->second.asked.fingerprint());
    return;
  }
  // The step's request has run or there is none: a new one does the harm.
  this->poison.insert("poisoned");
  this->ask({.id = "poisoned", .model = "a"}, 0, milliseconds(1));
}

void world::restart_later(process& victim) {
  this->time.outside(restart_after, [this, &victim] {
    if (victim.alive) return;
    for (const auto& each : this->vms) {
      if (each.info.id == victim.name && each.leaving_at) return;
    }
    for (auto& each : this->routers) {
      if (&each->own == &victim) each->start();
    }
    for (auto& each : this->agents) {
      if (&each->own == &victim) each->start();
    }
  });
}

void world::reclaim(process& victim) {
  for (auto& each : this->vms) {
    if (each.info.id == victim.name) each.leaving_at = this->time.now;
  }
  this->time.outside(reclaim_after, [this, &victim] {
    this->time.kill(victim);
    for (auto& each : this->agents) {
      if (&each->own == &victim) each->engine.vanish();
    }
  });
}

std::vector<vm_info> world::vm_list() const {
  std::vector<vm_info> listed;
  for (const auto& each : this->vms) {
    const bool left =
        each.leaving_at && this->time.now >= *each.leaving_at + list_lag;
    if (left && this->time.now >= *each.leaving_at + reclaim_after + list_lag) {
      continue;
    }
    listed.push_back(each.info);
    if (left) listed.back().state = vm_state::leaving;
  }
  return listed;
}

bool world::listed_as_leaving(const std::string& id) const {
  return std::any_of(this->vms.begin(), this->vms.end(), [&](const vm& each) {
    return each.info.id == id && each.leaving_at &&
           this->time.now >= *each.leaving_at + list_lag;
  });
}

void world::note_leaving(const std::string& name) {
  this->seen.leaving.try_emplace(name, this->time.now);
}

sim_agent& world::agent(const std::string& id) {
  const auto found =
      std::find_if(this->agents.begin(), this->agents.end(),
                   [&](const auto& each) { return each->vm.id == id; });
  return **found;
}

sim_router& world::router_at(const endpoint& control) {
  const auto found = std::find_if(
      this->routers.begin(), this->routers.end(),
      [&](const auto& each) { return each->vm.control == control; });
  return **found;
}

}  // namespace boragehill::fault
