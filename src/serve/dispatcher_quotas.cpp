// What the dispatcher does about the quotas of client accounts.

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/account.hpp"
#include "kernel/event_log.hpp"
#include "kernel/random.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

/// The part of its latency objective that a request waits for tokens; a server
/// needs the rest.
constexpr int patience_divisor = 4;
/// Of a request without an objective.
constexpr milliseconds default_patience{250};
/// After the last rejection an account counts as exhausted for this time.
constexpr milliseconds exhausted_hold{1000};

}  // namespace

const std::string* dispatcher::limited_account(const exchange& request) const {
  const auto* account = request.account();
  const bool is_limited = account && this->quotas.is_limited(account->name);
  return is_limited ? &account->name : nullptr;
}

std::string dispatcher::account_name(const exchange& request) {
  return request.account() ? request.account()->name : std::string();
}

bool dispatcher::lacks_quota(const exchange& request, time_point now) {
  const auto* account = this->limited_account(request);
  return account && !this->quotas.may_spend(*account, request.cost(), now);
}

void dispatcher::charge_quota(exchange& request, time_point now) {
  const auto* account = this->limited_account(request);
  if (!account) return;
  request.charge(this->quotas.spend(*account, request.cost(), now));
  this->metrics.on_quota_spent(*account, request.cost());
}

void dispatcher::on_not_run(exchange& request) {
  const auto charge = request.take_charge();
  if (!charge) return;
  this->quotas.refund(*charge, time_point::clock::now());
  this->metrics.on_quota_refunded(charge->account, charge->cost);
}

decide::quota_request dispatcher::quota_request_of(const exchange& request,
                                                   double queued,
                                                   time_point now) const {
  decide::quota_request asked{.account = request.account()->name,
                              .cost = request.cost(),
                              .queued = queued};
  const auto objective = request.route()->latency_objective;
  if (request.sends().was_attempted()) {
    // Another attempt of it has run or has been rejected.
    asked.patience = milliseconds(ms_between(now, request.due()));
  } else {
    asked.patience = objective > milliseconds(0) ? objective / patience_divisor
                                                 : default_patience;
  }
  return asked;
}

std::optional<dispatcher::refusal> dispatcher::over_quota(
    const exchange& request, double queued, time_point now) {
  const auto asked = this->quota_request_of(request, queued, now);
  const auto decided = this->quotas.decide(asked, kernel::random_bits(), now);
  const auto* rejected = std::get_if<decide::quota_rejection>(&decided);
  if (!rejected) return std::nullopt;
  this->quotas.on_rejected(asked, now);
  this->metrics.on_quota_rejected(asked.account);
  auto& episode = this->exhausted_quotas[asked.account];
  if (episode.rejected++ == 0) {
    episode.began = now;
    kernel::log_event(kernel::event::quota_exhausted,
                      {{"account", asked.account},
                       {"request", request.fields().attempt},
                       {"cost", asked.cost},
                       {"queued", asked.queued},
                       {"local", this->quotas.is_local()},
                       {"retry_after_ms", rejected->retry_after.count()}});
  }
  episode.last = now;
  return refusal{result_code::quota_exceeded,
                 "the client account's quota is exhausted",
                 rejected->retry_after};
}

double dispatcher::queued_cost(const std::string& account) const {
  double cost = 0;
  for (const auto& [key, line] : this->lines) {
    for (const auto& each : line) {
      const auto* owner = each->account();
      if (owner && owner->name == account) cost += each->cost();
    }
  }
  return cost;
}

void dispatcher::judge_quotas(
    time_point now,
    std::vector<std::pair<std::shared_ptr<exchange>, refusal>>& refused) {
  if (this->quotas.empty()) return;
  std::map<std::string, double> queued;
  for (const auto& [key, line] : this->lines) {
    if (!this->only_lacks_quota(line, now)) continue;
    for (const auto& each : line) {
      const auto* account = this->limited_account(*each);
      if (!account) continue;
      double& before = queued[*account];
      if (const auto over = this->over_quota(*each, before, now)) {
        refused.emplace_back(each, *over);
      } else {
        before += each->cost();
      }
    }
  }
}

bool dispatcher::only_lacks_quota(const waiting_line& line, time_point now) {
  // All of a line wait for the same servers.
  const auto first = std::find_if(
      line.begin(), line.end(),
      [&](const auto& each) { return this->lacks_quota(*each, now); });
  return first != line.end() && this->find_server(**first, now) != nullptr;
}

std::optional<decide::quota_report> dispatcher::take_quota_report() {
  if (this->quotas.empty()) return std::nullopt;
  const auto now = time_point::clock::now();
  std::map<std::string, decide::quota_need> needs;
  for (const auto& [key, line] : this->lines) {
    if (!this->only_lacks_quota(line, now)) continue;
    for (const auto& each : line) {
      const auto* account = this->limited_account(*each);
      if (!account) continue;
      auto& need = needs[*account];
      need.account = *account;
      need.waiting += each->cost();
      need.first =
          need.first == 0 ? each->cost() : std::min(need.first, each->cost());
    }
  }
  std::vector<decide::quota_need> waiting;
  waiting.reserve(needs.size());
  for (auto& [account, each] : needs) waiting.push_back(std::move(each));
  return this->quotas.report(waiting, this->routers.last_known(now).value_or(0),
                             now);
}

void dispatcher::on_quota_news(const wire::view_update& update,
                               time_point now) {
  if (update.whole) this->quotas.on_planner_changed();
  if (!update.quota_grants) return;
  const bool was_local = this->quotas.is_local();
  this->quotas.on_grants(*update.quota_grants, now);
  if (was_local && !this->quotas.is_local()) {
    kernel::log_event(kernel::event::local_quotas_ended,
                      {{"term", update.term}});
    this->metrics.set_local_quotas(false);
  }
}

void dispatcher::use_local_quotas(time_point now) {
  if (this->quotas.empty()) return;
  const bool was_local = this->quotas.is_local();
  const auto sharing = this->routers.last_known(now);
  this->quotas.on_planner_lost(sharing, kernel::random_bits(), now);
  if (was_local || !this->quotas.is_local()) return;
  kernel::log_event(kernel::event::local_quotas_began,
                    {{"routers", sharing.value_or(0)}});
  this->metrics.set_local_quotas(true);
}

void dispatcher::end_exhausted_quotas(time_point now) {
  std::erase_if(this->exhausted_quotas, [&](const auto& each) {
    const auto& [account, episode] = each;
    if (now - episode.last < exhausted_hold) return false;
    kernel::log_event(kernel::event::quota_available,
                      {{"account", account},
                       {"lasted_ms", ms_between(episode.began, episode.last)},
                       {"rejected", episode.rejected}});
    return true;
  });
}

}  // namespace boragehill::serve
