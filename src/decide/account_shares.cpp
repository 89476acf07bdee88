#include "decide/account_shares.hpp"

namespace boragehill::decide {

namespace {

/// Accounts burst to six times their usual demand and more; random arrivals
/// seldom double it.
constexpr double burst_ratio = 2;
/// With fewer requests a ratio says nothing.
constexpr double least_requests = 4;
/// Callers are owed a quarter of the mean; the rest is margin for the time
/// until a promotion shows.
constexpr double starved_ratio = 0.5;

}  // namespace

void account_shares::on_request(const std::string& account, time_point now) {
  auto& share = this->accounts[account];
  share.recent.add(1, now);
  share.usual.add(1, now);
  share.asked.add(1, now);
  this->asked.add(1, now);
}

void account_shares::on_sent(const std::string& account, time_point now) {
  this->accounts[account].sent.add(1, now);
  this->sent.add(1, now);
}

bool account_shares::is_bursting(const std::string& account,
                                 time_point now) const {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end()) return false;
  const auto& share = found->second;
  if (share.recent.value(now) < least_requests) return false;
  return share.recent.per_second(now) >
         burst_ratio * share.usual.per_second(now);
}

bool account_shares::is_starved(const std::string& account,
                                time_point now) const {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end()) return false;
  const auto& share = found->second;
  const double asked = share.asked.value(now);
  const double all = this->asked.value(now);
  if (asked < least_requests || all <= 0) return false;
  const double mean = this->sent.value(now) / all;
  return share.sent.value(now) / asked < starved_ratio * mean;
}

}  // namespace boragehill::decide
