#ifndef BORAGEHILL_DECIDE_RATE_LIMITED_SERVERS_HPP
#define BORAGEHILL_DECIDE_RATE_LIMITED_SERVERS_HPP

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/rate_limit.hpp"
#include "decide/rate_limit_announcement.hpp"
#include "decide/rate_limit_tokens.hpp"

namespace boragehill::decide {

/// The backend servers that limit the rate of requests from all routers
/// together, and the tokens for them that the planner granted this router.
///
/// No router knows how much the others send, so one that kept to a share of its
/// own would exceed the limit with them or leave most of it unused. The planner
/// grants the tokens instead, and without a token nothing is sent to such a
/// server.
class rate_limited_servers {
 public:
  /// Time for which a token may be used. An unused one is lost, so that tokens
  /// don't add up to a burst.
  static constexpr milliseconds token_lifetime{500};

  /// Records what a server said in a response.
  /// \return True if that is new.
  bool on_announcement(const rate_limit_announcement& announcement,
                       time_point now);

  /// Records all limits that the planner knows, by server. What a server said
  /// to this router a moment ago is newer.
  void on_planner_limits(const std::map<std::string, rate_limit>& limits,
                         time_point now);

  /// Announces all limits again, for a planner that may know of none.
  void announce_again(time_point now);

  /// Records tokens that the planner granted.
  void on_tokens(const rate_limit_tokens& granted, time_point now);

  /// \return The server's limit; nothing if it has none.
  std::optional<rate_limit> limit(const std::string& server) const;

  /// \return True if the server has no limit or there is a token for it.
  bool may_send(const std::string& server, time_point now) const;

  /// Takes a token if the server has a limit.
  void on_sent(const std::string& server, time_point now);

  /// \return The number of tokens that can be used now.
  int tokens(const std::string& server, time_point now) const;

  /// \return True if no server has a limit.
  bool empty() const { return this->servers.empty(); }

  /// \return What servers said to this router since the last call.
  std::vector<rate_limit_announcement> take_announcements();

  /// Forgets a server that is gone.
  void forget(const std::string& server);

 private:
  struct limited_server {
    rate_limit limit;
    /// Ends of the tokens' lifetimes, in ascending order.
    std::deque<time_point> token_ends;
  };

  /// Time for which this router's own knowledge counts as newer than the
  /// planner's: a report and the update that follows it.
  static constexpr milliseconds own_knowledge_age{1000};

  bool set_limit(const rate_limit_announcement& announcement);
  bool knows_better(const std::string& server, time_point now) const;

  std::map<std::string, limited_server> servers;
  std::map<std::string, time_point> announced_at;
  std::map<std::string, std::optional<double>> announcements;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RATE_LIMITED_SERVERS_HPP
