#ifndef BORAGEHILL_DECIDE_ACCOUNT_ALLOWANCE_HPP
#define BORAGEHILL_DECIDE_ACCOUNT_ALLOWANCE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/quota_charge.hpp"
#include "decide/quota_decision.hpp"
#include "decide/quota_grants.hpp"
#include "decide/quota_limit.hpp"
#include "decide/quota_need.hpp"
#include "decide/quota_report.hpp"
#include "decide/quota_request.hpp"
#include "decide/quota_settings.hpp"

namespace boragehill::decide {

/// What one router may spend of the quotas of client accounts.
///
/// With a planner, these are tokens that it granted; they expire, so that
/// unspent ones don't add up. Without one, it is a share of the quota that all
/// routers divide evenly, until the planner stops reserving it.
class account_allowance {
 public:
  /// The time for which a router spends its share without a planner. Shorter
  /// than `quota_allocator::reservation`, which begins a moment later.
  static constexpr milliseconds local_lifetime{45000};

  explicit account_allowance(const quota_settings& settings)
      : settings(settings) {}

  /// Records all limits; accounts that aren't among them have none.
  void set_limits(const std::vector<quota_limit>& limits);

  /// Records what the planner granted.
  void on_grants(const quota_grants& granted, time_point now);

  /// A planner that this router has just found may know of no grant.
  void on_planner_changed() { this->last_round = 0; }

  /// \param routers The number of routers that share the quotas; nothing if
  ///     this router was never told it.
  /// \param random 64 random bits.
  void on_planner_lost(std::optional<int> routers, std::uint64_t random,
                       time_point now);

  /// \return True if no account has a quota.
  bool empty() const { return this->accounts.empty(); }

  /// \return True if the account has a quota.
  bool is_limited(const std::string& account) const {
    return this->accounts.contains(account);
  }

  /// \return True if a request of that cost may be sent now.
  bool may_spend(const std::string& account, double cost, time_point now);

  /// Takes the cost of a request that is sent.
  quota_charge spend(const std::string& account, double cost, time_point now);

  /// Gives back the cost of a send that no server has run.
  void refund(const quota_charge& charge, time_point now);

  /// \param random 64 random bits.
  quota_decision decide(const quota_request& request, std::uint64_t random,
                        time_point now);

  /// Counts a rejected request among those that come back.
  void on_rejected(const quota_request& request, time_point now);

  /// \param waiting The needs of requests that only lack tokens.
  /// \return What to tell the planner.
  quota_report report(const std::vector<quota_need>& waiting, int known_routers,
                      time_point now);

  /// \return True if the router spends its share without a planner.
  bool is_local() const { return this->local_since.has_value(); }

 private:
  struct granted_tokens {
    double tokens = 0;
    time_point expires;
  };
  struct past_charge {
    double cost = 0;
    time_point at;
  };
  struct state {
    quota_limit limit;
    std::deque<granted_tokens> granted;
    std::deque<past_charge> charges;
    /// Until when requests that wait at all routers will have their tokens.
    time_point exhausted_until;
    time_point exhausted_told;
    /// Cost of the requests that waited here when the planner said so.
    double needed = 0;
    /// Until when the refill is due to rejected requests that come back.
    time_point returning_until;
    double mean_cost = 0;
    /// The local bucket; a request may overdraw it.
    double local_tokens = 0;
    time_point local_filled_at;
  };

  double held(state& of, time_point now) const;
  void fill_local(state& of, time_point now) const;
  /// \return This router's share of the account's rate, per second.
  double local_rate(const state& of) const;
  bool may_spend(state& of, double cost, time_point now);
  milliseconds wait_for(state& of, const quota_request& request,
                        time_point now) const;
  double tokens_ahead(state& of, time_point now) const;

  quota_settings settings;
  std::map<std::string, state> accounts;
  std::uint64_t last_round = 0;
  /// The routers that share the quotas.
  std::optional<int> routers;
  std::optional<time_point> local_since;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ACCOUNT_ALLOWANCE_HPP
