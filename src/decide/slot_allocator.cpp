#include "decide/slot_allocator.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

#include "decide/planner_name_list.hpp"

namespace boragehill::decide {

using detail::contains_name;

namespace {

bool is_for(const slot_grant& grant, const model_demand& demand) {
  return grant.model == demand.model && grant.adapter == demand.adapter;
}

bool serves(const planned_worker& worker, const model_demand& demand) {
  if (worker.list_entry.service != demand.service) return false;
  if (!worker.serves(demand.model)) return false;
  if (demand.adapter.empty()) return true;
  const auto& adapters = worker.report->find(demand.model)->adapters;
  return std::find(adapters.begin(), adapters.end(), demand.adapter) !=
         adapters.end();
}

void add_slot(std::vector<slot_grant>& grants, const std::string& server,
              const model_demand& demand) {
  const auto known =
      std::find_if(grants.begin(), grants.end(), [&](const slot_grant& each) {
        return each.server == server && is_for(each, demand);
      });
  if (known != grants.end()) {
    ++known->count;
    return;
  }
  grants.push_back({.server = server,
                    .model = demand.model,
                    .adapter = demand.adapter,
                    .count = 1});
}

}  // namespace

void slot_allocator::on_report(const std::string& router,
                               const demand_report& report) {
  auto& grants = this->unconfirmed_by_router[router];
  std::erase_if(grants, [&](const unconfirmed_grant& each) {
    if (each.round > report.last_grant_round) return false;
    this->unconfirmed_by_server[each.slots.server] -= each.slots.count;
    return true;
  });
  this->unreachable_by_router[router] = report.unreachable_servers;
  auto& waiting = this->waiting_by_router[router];
  waiting.clear();
  std::copy_if(report.demands.begin(), report.demands.end(),
               std::back_inserter(waiting),
               // Requests that are bound to a version need no grants.
               [](const model_demand& each) {
                 return each.waiting > 0 && each.software.empty();
               });
}

void slot_allocator::on_router_removed(const std::string& router) {
  for (const auto& each : this->unconfirmed_by_router[router]) {
    this->unconfirmed_by_server[each.slots.server] -= each.slots.count;
  }
  this->unconfirmed_by_router.erase(router);
  this->waiting_by_router.erase(router);
  this->unreachable_by_router.erase(router);
}

void slot_allocator::clear() {
  this->waiting_by_router.clear();
  this->unreachable_by_router.clear();
  this->unconfirmed_by_router.clear();
  this->unconfirmed_by_server.clear();
}

bool slot_allocator::has_waiting() const {
  return std::any_of(this->waiting_by_router.begin(),
                     this->waiting_by_router.end(),
                     [](const auto& each) { return !each.second.empty(); });
}

bool slot_allocator::is_unreachable(const std::string& server,
                                    const std::string& router) const {
  const auto found = this->unreachable_by_router.find(router);
  return found != this->unreachable_by_router.end() &&
         contains_name(found->second, server);
}

bool slot_allocator::seems_lost(const planned_worker& worker) const {
  if (worker.total_in_flight > 0) return false;
  return std::any_of(this->unreachable_by_router.begin(),
                     this->unreachable_by_router.end(), [&](const auto& each) {
                       return contains_name(each.second, worker.list_entry.id);
                     });
}

void slot_allocator::drop_expired(time_point now) {
  const auto oldest = now - this->settings.confirmation_timeout;
  for (auto& [router, grants] : this->unconfirmed_by_router) {
    std::erase_if(grants, [&](const unconfirmed_grant& each) {
      if (each.granted_at > oldest) return false;
      this->unconfirmed_by_server[each.slots.server] -= each.slots.count;
      return true;
    });
  }
  std::erase_if(this->unconfirmed_by_server,
                [](const auto& each) { return each.second <= 0; });
}

std::vector<slot_allocator::need> slot_allocator::list_needs(bool late) const {
  std::vector<need> needs;
  for (const auto& [router, demands] : this->waiting_by_router) {
    const auto granted = this->unconfirmed_by_router.find(router);
    for (const auto& demand : demands) {
      int missing = late ? demand.late : demand.waiting - demand.late;
      if (granted != this->unconfirmed_by_router.end()) {
        for (const auto& each : granted->second) {
          if (is_for(each.slots, demand)) missing -= each.slots.count;
        }
      }
      if (missing > 0) needs.push_back({router, &demand, missing});
    }
  }
  std::sort(needs.begin(), needs.end(),
            [](const need& left, const need& right) {
              return left.demand->oldest_wait > right.demand->oldest_wait;
            });
  return needs;
}

int slot_allocator::unconfirmed_slots(const std::string& server) const {
  const auto found = this->unconfirmed_by_server.find(server);
  return found == this->unconfirmed_by_server.end() ? 0 : found->second;
}

int slot_allocator::unconfirmed_of(const std::string& server,
                                   const std::string& router) const {
  const auto own = this->unconfirmed_by_router.find(router);
  if (own == this->unconfirmed_by_router.end()) return 0;
  int slots = 0;
  for (const auto& each : own->second) {
    if (each.slots.server == server) slots += each.slots.count;
  }
  return slots;
}

slot_allocator::candidate* slot_allocator::choose(
    std::vector<candidate>& candidates, const need& asked, bool late) const {
  const double queue_share = late ? 0 : this->settings.queue_share;
  candidate* best = nullptr;
  double best_utilization = 0;
  for (auto& each : candidates) {
    const int slots = each.worker->list_entry.slots;
    if (slots <= 0 || each.unconfirmed >= this->settings.max_unconfirmed) {
      continue;
    }
    if (each.requests >= slots * (1 + queue_share)) continue;
    const double utilization = static_cast<double>(each.requests) / slots;
    if (best && utilization >= best_utilization) continue;
    if (!serves(*each.worker, *asked.demand)) continue;
    if (this->is_unreachable(each.worker->list_entry.id, asked.router))
      continue;
    best = &each;
    best_utilization = utilization;
  }
  return best;
}

slot_allocator::grant_map slot_allocator::grant_slots(
    const std::vector<const planned_worker*>& workers, time_point now) {
  std::vector<candidate> candidates;
  candidates.reserve(workers.size());
  for (const auto* worker : workers) {
    const int unconfirmed = this->unconfirmed_slots(worker->list_entry.id);
    candidates.push_back({.worker = worker,
                          .requests = worker->total_in_flight + unconfirmed,
                          .unconfirmed = unconfirmed});
  }
  grant_map grants;
  for (const bool late : {false, true}) {
    for (const auto& each : this->list_needs(late)) {
      for (int missing = each.missing; missing > 0; --missing) {
        auto* chosen = this->choose(candidates, each, late);
        if (!chosen) break;
        ++chosen->requests;
        ++chosen->unconfirmed;
        add_slot(grants[each.router], chosen->worker->list_entry.id,
                 *each.demand);
      }
    }
  }
  if (grants.empty()) return grants;
  ++this->last_round;
  for (const auto& [router, slots] : grants) {
    for (const auto& each : slots) {
      this->unconfirmed_by_router[router].push_back(
          {.round = this->last_round, .slots = each, .granted_at = now});
      this->unconfirmed_by_server[each.server] += each.count;
    }
  }
  return grants;
}

}  // namespace boragehill::decide
