#ifndef BORAGEHILL_DECIDE_PROMPT_BACKLOG_LIMITS_HPP
#define BORAGEHILL_DECIDE_PROMPT_BACKLOG_LIMITS_HPP

#include <algorithm>

namespace boragehill::decide {

/// Limits the prompt backlog at a server: the prompt tokens that it has not
/// processed yet when a router sends it one more request.
///
/// A worker may process a long prompt for more than a second, and requests sent
/// meanwhile queue behind it. A request that a server has can't be withdrawn,
/// since it may run: it can't move to a server that has capacity by then, can't
/// be rejected with the assurance that it has not run, and is lost if the
/// server stalls. A request that waits in the router can still be moved or
/// rejected.
struct prompt_backlog_limits {
  /// Limit for all routers together. A worker processes this many tokens in
  /// half a second, so it is never idle while requests wait in routers.
  int server_tokens = 16000;
  /// Limit for one router and a request whose latency objective has passed:
  /// four routers then keep a server busy with prompts for 0.2 s.
  int late_request_tokens = 2000;

  bool operator==(const prompt_backlog_limits&) const = default;

  /// \param is_late The request's latency objective has passed.
  /// \param routers Number of routers that send to the server; 0 counts as 1.
  /// \return Maximum backlog of one router at the server, in prompt tokens.
  int router_limit(bool is_late, int routers) const {
    const int share = this->server_tokens / std::max(routers, 1);
    return is_late ? std::min(this->late_request_tokens, share) : share;
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PROMPT_BACKLOG_LIMITS_HPP
