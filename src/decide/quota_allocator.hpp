#ifndef BORAGEHILL_DECIDE_QUOTA_ALLOCATOR_HPP
#define BORAGEHILL_DECIDE_QUOTA_ALLOCATOR_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/quota_grants.hpp"
#include "decide/quota_limit.hpp"
#include "decide/quota_report.hpp"
#include "decide/quota_settings.hpp"

namespace boragehill::decide {

/// Divides the quotas of client accounts among the routers, in the planner: a
/// token bucket for each account, whose tokens go to the routers that need
/// them.
///
/// Load: an account sends up to ten times its usual demand for seconds, through
/// all routers at once. A fixed share for each router would reject a small
/// account's requests while its quota lies unused at other routers.
class quota_allocator {
 public:
  using grant_map = std::map<std::string, quota_grants>;

  /// The time for which the share of a router that was lost is reserved: it may
  /// still spend its local share, see `account_allowance::local_lifetime`.
  static constexpr milliseconds reservation{60000};

  explicit quota_allocator(const quota_settings& settings)
      : settings(settings) {}

  /// Becomes the planner's. Nothing is granted until the grants of an earlier
  /// planner have expired.
  void start(time_point now);

  /// Records all limits; accounts that aren't among them have none.
  void set_limits(const std::vector<quota_limit>& limits, time_point now);

  void on_report(const std::string& router, const quota_report& report,
                 time_point now);

  void on_router_removed(const std::string& router, time_point now);

  /// \return The grants of each router that has reported, also empty ones.
  ///     Empty if there are no limits or nothing may be granted yet.
  grant_map grant(time_point now);

 private:
  struct unconfirmed_grant {
    std::uint64_t round = 0;
    time_point sent;
    double tokens = 0;
  };
  struct router_need {
    double waiting = 0;
    double first = 0;
    double ahead = 0;
    std::uint64_t last_turn = 0;
    /// Those that the router's last report can't allow for.
    std::deque<unconfirmed_grant> unconfirmed;
  };
  struct bucket {
    quota_limit limit;
    double tokens = 0;
    time_point filled_at;
    std::map<std::string, router_need> needs;
  };

  /// \return The part of the quotas that isn't reserved.
  double available_share(time_point now) const;
  void fill(bucket& filled, double share, time_point now) const;
  void grant_waiting(bucket& from, time_point now, grant_map& granted);
  void grant_ahead(bucket& from, time_point now, grant_map& granted);
  void give(bucket& from, const std::string& router, double tokens,
            time_point now, grant_map& granted);
  /// \return The router's grant of the bucket's account in this round.
  static quota_grant& grant_to(const std::string& router, const bucket& from,
                               grant_map& granted);

  quota_settings settings;
  std::map<std::string, bucket> buckets;
  /// When each router made its last report, by its own clock.
  std::map<std::string, milliseconds> report_times;
  /// When routers were lost that haven't come back.
  std::map<std::string, time_point> lost;
  /// The largest number of routers that any of them knows of.
  int known_routers = 0;
  time_point started;
  std::uint64_t round = 0;
  std::uint64_t turn = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_ALLOCATOR_HPP
