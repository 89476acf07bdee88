#include "decide/rate_limit_allocator.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// A bucket holds one token and those of this time, so that the interval
/// between two grants costs none.
constexpr milliseconds bucket_time{200};

double capacity_of(double rate) {
  return 1 + rate * seconds_of(bucket_time);
}

}  // namespace

void rate_limit_allocator::on_report(const std::string& router,
                                     const rate_limit_report& report,
                                     time_point now) {
  for (const auto& each : report.announcements) {
    if (!each.limit) {
      this->buckets.erase(each.server);
      continue;
    }
    const auto known =
        this->buckets.try_emplace(each.server, bucket{.filled_at = now}).first;
    known->second.limit = *each.limit;
  }
  this->on_router_waits_for_none(router);
  for (const auto& each : report.needed) {
    const auto found = this->buckets.find(each.server);
    if (found != this->buckets.end() && each.count > 0) {
      found->second.needed[router] = each.count;
      found->second.waiting.insert(router);
    }
  }
}

void rate_limit_allocator::on_router_removed(const std::string& router) {
  this->on_router_waits_for_none(router);
  for (auto& [server, each] : this->buckets) each.last_turn.erase(router);
}

void rate_limit_allocator::on_router_waits_for_none(const std::string& router) {
  for (auto& [server, each] : this->buckets) {
    each.needed.erase(router);
    each.waiting.erase(router);
  }
}

void rate_limit_allocator::keep_servers(
    const std::function<bool(const std::string&)>& is_listed) {
  std::erase_if(this->buckets,
                [&](const auto& each) { return !is_listed(each.first); });
}

std::map<std::string, rate_limit> rate_limit_allocator::limits() const {
  std::map<std::string, rate_limit> limits;
  for (const auto& [server, each] : this->buckets) {
    limits[server] = {.per_second = each.limit,
                      .waiting_routers = static_cast<int>(each.waiting.size())};
  }
  return limits;
}

void rate_limit_allocator::fill(bucket& filled, time_point now) {
  const std::chrono::duration<double> passed = now - filled.filled_at;
  const double rate = rate_limit{.per_second = filled.limit}.token_rate();
  filled.filled_at = now;
  filled.tokens =
      std::min(filled.tokens + rate * passed.count(), capacity_of(rate));
}

std::string rate_limit_allocator::next_router(const bucket& from) {
  const auto turn_of = [&](const auto& each) {
    const auto found = from.last_turn.find(each.first);
    return found == from.last_turn.end() ? 0 : found->second;
  };
  return std::min_element(from.needed.begin(), from.needed.end(),
                          [&](const auto& one, const auto& other) {
                            return turn_of(one) < turn_of(other);
                          })
      ->first;
}

rate_limit_allocator::grant_map rate_limit_allocator::grant(time_point now) {
  grant_map granted;
  for (auto& [server, each] : this->buckets) {
    fill(each, now);
    std::map<std::string, int> counts;
    while (each.tokens >= 1 && !each.needed.empty()) {
      const auto router = next_router(each);
      each.tokens -= 1;
      each.last_turn[router] = ++this->turn;
      ++counts[router];
      if (--each.needed[router] == 0) each.needed.erase(router);
    }
    for (const auto& [router, count] : counts) {
      granted[router].push_back({.server = server, .count = count});
    }
  }
  return granted;
}

}  // namespace boragehill::decide
