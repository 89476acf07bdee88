#include "decide/account_allowance.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

namespace {

/// For how long it counts what the planner said of an exhausted quota. The
/// requests that it waited for may have been rejected since; without new ones
/// that ask again, the refill would remain unused.
constexpr milliseconds exhausted_validity{100};
/// Of one charge in the mean of them.
constexpr double mean_weight = 0.1;
/// With fewer requests in half of a grant's lifetime, tokens granted ahead
/// would mostly expire.
constexpr std::size_t least_steady_charges = 3;
/// A retry-after period is longer by a random part of at most this, so that
/// rejected requests don't come back together.
constexpr double most_jitter = 0.5;

double random_part(std::uint64_t random) {
  constexpr std::uint64_t steps = 1U << 20U;
  return static_cast<double>(random % steps) / static_cast<double>(steps);
}

milliseconds to_milliseconds(double seconds) {
  constexpr double most_seconds = 3600;
  constexpr double ms_per_second = 1000;
  return milliseconds(static_cast<milliseconds::rep>(
      std::min(seconds, most_seconds) * ms_per_second));
}

milliseconds made_at(time_point now) {
  return std::chrono::floor<milliseconds>(now.time_since_epoch());
}

}  // namespace

void account_allowance::set_limits(const std::vector<quota_limit>& limits) {
  std::map<std::string, state> kept;
  for (const auto& each : limits) {
    const auto known = this->accounts.find(each.account);
    auto& next = kept[each.account];
    if (known != this->accounts.end()) next = std::move(known->second);
    next.limit = each;
  }
  this->accounts = std::move(kept);
}

void account_allowance::on_grants(const quota_grants& granted, time_point now) {
  if (granted.round == 0) return;
  this->last_round = granted.round;
  this->local_since.reset();
  // By the report's time, not by the arrival: a router that stood still would
  // take old tokens for new ones.
  const auto expires =
      time_point(granted.report_made_at) + this->settings.grant_lifetime();
  for (const auto& each : granted.grants) {
    const auto found = this->accounts.find(each.account);
    if (found == this->accounts.end()) continue;
    auto& known = found->second;
    if (each.tokens > 0) {
      known.granted.push_back({.tokens = each.tokens, .expires = expires});
    }
    known.exhausted_until = now + each.exhausted_for;
    known.exhausted_told = now;
  }
}

void account_allowance::on_planner_lost(std::optional<int> count,
                                        std::uint64_t random, time_point now) {
  this->last_round = 0;
  if (this->local_since) return;
  this->routers = count;
  if (!this->routers) return;
  this->local_since = now;
  for (auto& [account, each] : this->accounts) {
    const double start =
        std::min(this->settings.local_slack(), each.limit.burst) /
        *this->routers;
    // A share may be smaller than one request. The routers' buckets begin at
    // different levels, so that they overdraw them one after the other.
    each.local_tokens = start - random_part(random) * each.mean_cost;
    each.local_filled_at = now;
    each.exhausted_until = now;
  }
}

double account_allowance::held(state& of, time_point now) const {
  while (!of.granted.empty() && of.granted.front().expires <= now) {
    of.granted.pop_front();
  }
  double tokens = 0;
  for (const auto& each : of.granted) tokens += each.tokens;
  return tokens;
}

double account_allowance::local_rate(const state& of) const {
  return of.limit.per_second / this->routers.value_or(1);
}

void account_allowance::fill_local(state& of, time_point now) const {
  const std::chrono::duration<double> passed = now - of.local_filled_at;
  of.local_filled_at = now;
  const double most = (of.limit.burst + this->settings.local_slack()) /
                      this->routers.value_or(1);
  of.local_tokens =
      std::min(of.local_tokens + this->local_rate(of) * passed.count(), most);
}

bool account_allowance::may_spend(state& of, double cost, time_point now) {
  if (this->held(of, now) >= cost) return true;
  if (!this->local_since) return false;
  if (now - *this->local_since >= local_lifetime) return false;
  this->fill_local(of, now);
  return of.local_tokens > 0;
}

bool account_allowance::may_spend(const std::string& account, double cost,
                                  time_point now) {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ||
         this->may_spend(found->second, cost, now);
}

quota_charge account_allowance::spend(const std::string& account, double cost,
                                      time_point now) {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end()) return {};
  auto& of = found->second;
  quota_charge charge{.account = account, .cost = cost, .expires = now};
  of.charges.push_back({.cost = cost, .at = now});
  of.mean_cost = of.mean_cost == 0
                     ? cost
                     : of.mean_cost + mean_weight * (cost - of.mean_cost);
  if (this->held(of, now) < cost && this->local_since) {
    of.local_tokens -= cost;
    charge.expires = now + this->settings.grant_lifetime();
    return charge;
  }
  if (!of.granted.empty()) charge.expires = of.granted.front().expires;
  double left = cost;
  while (left > 0 && !of.granted.empty()) {
    auto& first = of.granted.front();
    const double taken = std::min(first.tokens, left);
    first.tokens -= taken;
    left -= taken;
    if (first.tokens <= 0) of.granted.pop_front();
  }
  return charge;
}

void account_allowance::refund(const quota_charge& charge, time_point now) {
  const auto found = this->accounts.find(charge.account);
  if (found == this->accounts.end() || charge.expires <= now) return;
  auto& of = found->second;
  if (!of.charges.empty()) of.charges.pop_back();
  if (this->local_since) {
    of.local_tokens += charge.cost;
    return;
  }
  const auto behind = std::find_if(
      of.granted.begin(), of.granted.end(),
      [&](const auto& each) { return each.expires > charge.expires; });
  of.granted.insert(behind, {.tokens = charge.cost, .expires = charge.expires});
}

milliseconds account_allowance::wait_for(state& of,
                                         const quota_request& request,
                                         time_point now) const {
  const double before = request.queued + request.cost;
  if (this->local_since) {
    if (now - *this->local_since >= local_lifetime) {
      return this->settings.window;
    }
    return to_milliseconds(std::max(request.queued - of.local_tokens, 0.0) /
                           this->local_rate(of));
  }
  const auto left = of.exhausted_until - now;
  const bool is_known = now - of.exhausted_told < exhausted_validity;
  if (!is_known || left <= time_point::duration::zero()) {
    return milliseconds(0);
  }
  const double part = of.needed > 0 ? std::min(before / of.needed, 1.0) : 1.0;
  const std::chrono::duration<double> seconds = left;
  return to_milliseconds(seconds.count() * part);
}

quota_decision account_allowance::decide(const quota_request& request,
                                         std::uint64_t random, time_point now) {
  const auto found = this->accounts.find(request.account);
  if (found == this->accounts.end()) return quota_admission{};
  auto& of = found->second;
  const bool is_first = request.queued == 0;
  if (is_first && this->may_spend(of, request.cost, now)) {
    return quota_admission{};
  }
  const auto wait = this->wait_for(of, request, now);
  if (wait <= request.patience) return quota_wait{};
  const auto returning =
      std::chrono::ceil<milliseconds>(of.returning_until - now);
  const auto expected =
      std::min(std::max(wait, returning), this->settings.window);
  const double jitter = 1 + most_jitter * random_part(random);
  return quota_rejection{
      .retry_after = milliseconds(static_cast<milliseconds::rep>(
          static_cast<double>(expected.count()) * jitter))};
}

void account_allowance::on_rejected(const quota_request& request,
                                    time_point now) {
  const auto found = this->accounts.find(request.account);
  if (found == this->accounts.end()) return;
  auto& of = found->second;
  const auto from = std::max({of.returning_until, of.exhausted_until, now});
  of.returning_until =
      std::min(from + to_milliseconds(request.cost / this->local_rate(of)),
               now + this->settings.window);
}

double account_allowance::tokens_ahead(state& of, time_point now) const {
  const auto since = now - this->settings.grant_lifetime() / 2;
  while (!of.charges.empty() && of.charges.front().at <= since) {
    of.charges.pop_front();
  }
  if (of.charges.size() < least_steady_charges) return 0;
  double spent = 0;
  for (const auto& each : of.charges) spent += each.cost;
  return spent;
}

quota_report account_allowance::report(const std::vector<quota_need>& waiting,
                                       int known_routers, time_point now) {
  quota_report told{.made_at = made_at(now),
                    .last_round = this->last_round,
                    .known_routers = known_routers};
  if (known_routers > 0) this->routers = known_routers;
  for (auto& [name, each] : this->accounts) {
    const std::string& account = name;
    quota_need need{.account = account};
    const auto found =
        std::find_if(waiting.begin(), waiting.end(),
                     [&](const auto& one) { return one.account == account; });
    const double held = this->held(each, now);
    if (found != waiting.end()) {
      need.waiting = std::max(found->waiting - held, 0.0);
      need.first = std::clamp(found->first - held, 0.0, need.waiting);
    }
    each.needed = need.waiting;
    const double spare = held - (found == waiting.end() ? 0 : found->waiting);
    need.ahead =
        std::max(this->tokens_ahead(each, now) - std::max(spare, 0.0), 0.0);
    if (need.waiting > 0 || need.ahead > 0) told.needs.push_back(need);
  }
  return told;
}

}  // namespace boragehill::decide
