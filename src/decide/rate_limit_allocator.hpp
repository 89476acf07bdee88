#ifndef BORAGEHILL_DECIDE_RATE_LIMIT_ALLOCATOR_HPP
#define BORAGEHILL_DECIDE_RATE_LIMIT_ALLOCATOR_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/rate_limit.hpp"
#include "decide/rate_limit_report.hpp"
#include "decide/rate_limit_tokens.hpp"

namespace boragehill::decide {

/// Divides the rate limits of backend servers among the routers, in the
/// planner: a token bucket for each server, whose tokens go to the routers with
/// waiting requests, in turn.
class rate_limit_allocator {
 public:
  /// Tokens granted to one router.
  using grant_map = std::map<std::string, std::vector<rate_limit_tokens>>;

  /// Records what a router reported.
  void on_report(const std::string& router, const rate_limit_report& report,
                 time_point now);

  void on_router_removed(const std::string& router);

  /// Forgets the servers that aren't listed any more.
  void keep_servers(const std::function<bool(const std::string&)>& is_listed);

  /// \return The tokens for each router that can be granted now. Each need is
  ///     granted once; routers report it again.
  grant_map grant(time_point now);

  /// \return The limits by server.
  std::map<std::string, rate_limit> limits() const;

 private:
  struct bucket {
    /// Requests per second.
    double limit = 0;
    double tokens = 0;
    time_point filled_at;
    /// Tokens that are needed and not granted, by router.
    std::map<std::string, int> needed;
    /// Routers that needed tokens when they last reported.
    std::set<std::string> waiting;
    /// Turn of the last grant by router; those never granted come first.
    std::map<std::string, std::uint64_t> last_turn;
  };

  void on_router_waits_for_none(const std::string& router);
  static void fill(bucket& filled, time_point now);
  static std::string next_router(const bucket& from);

  std::map<std::string, bucket> buckets;
  std::uint64_t turn = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RATE_LIMIT_ALLOCATOR_HPP
