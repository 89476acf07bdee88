#ifndef BORAGEHILL_DECIDE_ONCE_CLAIM_ROW_HPP
#define BORAGEHILL_DECIDE_ONCE_CLAIM_ROW_HPP

#include <cstdint>
#include <string>

#include <boragehill/endpoint.hpp>

namespace boragehill::decide {

/// How far a non-idempotent request came.
enum class once_state { claimed = 0, ended = 1 };

/// The row `once/<service>/<key>` of a non-idempotent request: which attempt
/// may run it and, once it ended, its answer.
struct once_row {
  /// The digest of the request that came with the key.
  std::string digest;
  /// The one attempt that may run.
  std::string attempt;
  std::string server;
  /// The control protocol of that server's agent.
  endpoint control;
  /// The data protocol there, which hands kept answers over.
  endpoint data;
  /// The agent's fencing number in the attempt's permit.
  std::uint64_t fence = 0;
  /// The permit's end on the agent's clock.
  std::int64_t permit_end_ms = 0;
  once_state state = once_state::claimed;
  /// The HTTP status of the answer; set once ended.
  std::int32_t status = 0;
  std::string content_type;
  /// The answer's bytes, if they are few and valid UTF-8.
  std::string answer;
  /// The object that holds the answer otherwise.
  std::string object;
  /// Wall-clock time of the write, for removing old rows only.
  std::int64_t written_at_ms = 0;

  bool operator==(const once_row&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("digest", self.digest);
    visit("attempt", self.attempt);
    visit("server", self.server);
    visit("control", self.control);
    visit("data", self.data);
    visit("fence", self.fence);
    visit("permit_end_ms", self.permit_end_ms);
    visit("state", self.state);
    visit("status", self.status);
    visit("content_type", self.content_type);
    visit("answer", self.answer);
    visit("object", self.object);
    visit("written_at_ms", self.written_at_ms);
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ONCE_CLAIM_ROW_HPP
