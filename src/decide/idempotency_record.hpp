#ifndef BORAGEHILL_DECIDE_IDEMPOTENCY_RECORD_HPP
#define BORAGEHILL_DECIDE_IDEMPOTENCY_RECORD_HPP

#include <cstdint>
#include <string>

#include <boragehill/endpoint.hpp>

namespace boragehill::decide {

/// Progress of a non-idempotent request. The values are stored.
enum class idempotency_state { claimed = 0, completed = 1 };

/// The table row `once/<service>/<key>` of a non-idempotent request: the
/// attempt that may run it and, once that completed, its response.
struct idempotency_record {
  /// The digest of the first request received with the key.
  std::string digest;
  /// The only attempt that may run.
  std::string attempt;
  std::string server;
  /// The control endpoint of that server's agent.
  endpoint control;
  /// The data endpoint of that agent, which serves stored responses.
  endpoint data;
  /// The agent's fencing number in the attempt's permit.
  std::uint64_t fence = 0;
  /// The permit's end on the agent's clock, in ms.
  std::int64_t permit_end_ms = 0;
  idempotency_state state = idempotency_state::claimed;
  /// The HTTP status of the response; set once completed.
  std::int32_t http_status = 0;
  std::string content_type;
  /// The response body, if it is small and valid UTF-8.
  std::string response_body;
  /// The name of the object that holds the response body otherwise.
  std::string response_object;
  /// Wall-clock time of the write in ms, used only to remove old rows.
  std::int64_t written_at_ms = 0;

  bool operator==(const idempotency_record&) const = default;

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
    visit("status", self.http_status);
    visit("content_type", self.content_type);
    visit("answer", self.response_body);
    visit("object", self.response_object);
    visit("written_at_ms", self.written_at_ms);
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_IDEMPOTENCY_RECORD_HPP
