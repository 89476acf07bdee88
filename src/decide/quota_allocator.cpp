#include "decide/quota_allocator.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

namespace {

/// A grant that a router hasn't confirmed by then was lost with its link.
constexpr milliseconds confirmation_timeout{300};
/// The part of a bucket that may be granted ahead of requests; the rest is left
/// for routers that need it first.
constexpr double ahead_share = 0.5;

}  // namespace

void quota_allocator::start(time_point now) {
  this->buckets.clear();
  this->report_times.clear();
  this->lost.clear();
  this->known_routers = 0;
  this->started = now;
  this->round = 0;
}

void quota_allocator::set_limits(const std::vector<quota_limit>& limits,
                                 time_point now) {
  std::map<std::string, bucket> kept;
  for (const auto& each : limits) {
    const auto known = this->buckets.find(each.account);
    auto& next = kept[each.account];
    if (known != this->buckets.end()) {
      next = std::move(known->second);
    } else {
      next.tokens = this->settings.initial_planner_slack();
      next.filled_at = now;
    }
    next.limit = each;
  }
  this->buckets = std::move(kept);
}

void quota_allocator::on_report(const std::string& router,
                                const quota_report& report, time_point now) {
  this->lost.erase(router);
  this->known_routers = std::max(this->known_routers, report.known_routers);
  this->report_times[router] = report.made_at;
  for (auto& [account, each] : this->buckets) {
    auto& need = each.needs[router];
    need.waiting = 0;
    need.first = 0;
    need.ahead = 0;
    std::erase_if(need.unconfirmed, [&](const unconfirmed_grant& sent) {
      return sent.round <= report.last_round ||
             now - sent.sent > confirmation_timeout;
    });
  }
  for (const auto& each : report.needs) {
    const auto found = this->buckets.find(each.account);
    if (found == this->buckets.end()) continue;
    auto& need = found->second.needs[router];
    double underway = 0;
    for (const auto& sent : need.unconfirmed) underway += sent.tokens;
    need.waiting = std::max(each.waiting - underway, 0.0);
    underway = std::max(underway - each.waiting, 0.0);
    need.first = std::min(each.first, need.waiting);
    need.ahead = std::max(each.ahead - underway, 0.0);
  }
}

void quota_allocator::on_router_removed(const std::string& router,
                                        time_point now) {
  if (this->report_times.erase(router) == 0) return;
  for (auto& [account, each] : this->buckets) each.needs.erase(router);
  this->lost[router] = now;
}

double quota_allocator::available_share(time_point now) const {
  const auto is_reserved = [&](time_point since) {
    return now - since < reservation;
  };
  const auto missing =
      std::count_if(this->lost.begin(), this->lost.end(),
                    [&](const auto& each) { return is_reserved(each.second); });
  const auto connected = static_cast<std::ptrdiff_t>(this->report_times.size());
  auto all = connected + missing;
  if (is_reserved(this->started)) {
    all = std::max(all, std::ptrdiff_t(this->known_routers));
  }
  if (all == 0) return 0;
  return static_cast<double>(connected) / static_cast<double>(all);
}

void quota_allocator::fill(bucket& filled, double share, time_point now) const {
  const std::chrono::duration<double> passed = now - filled.filled_at;
  filled.filled_at = now;
  filled.tokens += filled.limit.per_second * share * passed.count();
  // Before a router has reported, nothing is known of their number.
  if (share == 0) return;
  filled.tokens =
      std::min(filled.tokens,
               (filled.limit.burst + this->settings.planner_slack()) * share);
}

void quota_allocator::give(bucket& from, const std::string& router,
                           double tokens, time_point now, grant_map& granted) {
  from.tokens -= tokens;
  from.needs[router].unconfirmed.push_back(
      {.round = this->round, .sent = now, .tokens = tokens});
  grant_to(router, from, granted).tokens += tokens;
}

quota_grant& quota_allocator::grant_to(const std::string& router,
                                       const bucket& from, grant_map& granted) {
  // The buckets are granted from one after the other.
  auto& grants = granted[router].grants;
  const auto& account = from.limit.account;
  if (grants.empty() || grants.back().account != account) {
    grants.push_back({.account = account});
  }
  return grants.back();
}

void quota_allocator::grant_waiting(bucket& from, time_point now,
                                    grant_map& granted) {
  std::vector<std::pair<const std::string*, router_need*>> waiting;
  for (auto& [router, need] : from.needs) {
    if (need.waiting > 0) waiting.emplace_back(&router, &need);
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const auto& one, const auto& other) {
              return one.second->last_turn < other.second->last_turn;
            });
  double unmet = 0;
  for (const auto& [router, need] : waiting) {
    // A request that costs more than the burst goes when the bucket is full.
    const double least = std::min(need->first, from.limit.burst);
    const bool is_enough = unmet == 0 && from.tokens >= least;
    const double tokens =
        is_enough ? std::min(need->waiting, std::max(from.tokens, need->first))
                  : 0;
    if (tokens > 0) {
      need->last_turn = ++this->turn;
      this->give(from, *router, tokens, now, granted);
    }
    need->waiting -= tokens;
    need->first = std::min(need->first, need->waiting);
    unmet += need->waiting;
  }
  if (unmet == 0) return;
  const double seconds = (unmet - from.tokens) / from.limit.per_second;
  const milliseconds exhausted_for(std::max<milliseconds::rep>(
      static_cast<milliseconds::rep>(seconds * 1000), 1));
  for (const auto& [router, need] : waiting) {
    if (need->waiting == 0) continue;
    grant_to(*router, from, granted).exhausted_for = exhausted_for;
  }
}

void quota_allocator::grant_ahead(bucket& from, time_point now,
                                  grant_map& granted) {
  double needed = 0;
  bool any_waits = false;
  for (const auto& [router, need] : from.needs) {
    needed += need.ahead;
    any_waits = any_waits || need.waiting > 0;
  }
  const double most = from.tokens * ahead_share;
  if (any_waits || needed == 0 || most <= 0) return;
  const double part = std::min(most / needed, 1.0);
  for (auto& [router, need] : from.needs) {
    if (need.ahead == 0) continue;
    this->give(from, router, std::exchange(need.ahead, 0) * part, now, granted);
  }
}

quota_allocator::grant_map quota_allocator::grant(time_point now) {
  grant_map granted;
  if (this->buckets.empty()) return granted;
  const bool may_grant = now - this->started >= this->settings.grant_lifetime();
  if (may_grant) ++this->round;
  const double share = this->available_share(now);
  for (auto& [account, each] : this->buckets) {
    if (!may_grant) {
      each.filled_at = now;
      continue;
    }
    fill(each, share, now);
    this->grant_waiting(each, now, granted);
    this->grant_ahead(each, now, granted);
  }
  if (!may_grant) return granted;
  for (const auto& [router, made_at] : this->report_times) {
    auto& grants = granted[router];
    grants.round = this->round;
    grants.report_made_at = made_at;
  }
  return granted;
}

}  // namespace boragehill::decide
