#ifndef BORAGEHILL_DECIDE_RATE_LIMIT_TOKENS_HPP
#define BORAGEHILL_DECIDE_RATE_LIMIT_TOKENS_HPP

#include <string>

namespace boragehill::decide {

/// Tokens for a rate-limited backend server: as many as a router needs, or as
/// many as the planner grants it.
struct rate_limit_tokens {
  /// Identifies the incarnation of the server.
  std::string server;
  int count = 0;

  bool operator==(const rate_limit_tokens&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RATE_LIMIT_TOKENS_HPP
