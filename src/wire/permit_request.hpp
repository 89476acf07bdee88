#ifndef BORAGEHILL_WIRE_PERMIT_REQUEST_HPP
#define BORAGEHILL_WIRE_PERMIT_REQUEST_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

namespace boragehill::wire {

/// `home.permit`: an entry router asks the home of a target for a permit to run
/// one attempt. Asking again for the same attempt is idempotent.
struct permit_request {
  /// The attempt id.
  std::string attempt;
  /// The control endpoint that the answer to a queued request goes to.
  endpoint entry;
  /// "model:<base>" or "pool:<name>".
  std::string target;
  /// The adapter's name; empty for the base model.
  std::string adapter;
  /// The profile that the caller's service picked.
  std::string profile;
  /// Milliseconds to the caller's deadline when this was sent.
  std::int64_t time_left_ms = 0;
  /// Higher goes first at equal deadlines.
  std::int64_t priority = 0;
  /// Hash of service, target and body, in hex.
  std::string fingerprint;
  bool non_idempotent = false;
  /// Backend servers that went down while running this request.
  std::uint32_t crashes = 0;
  /// Backend servers that this request must not go to again.
  std::vector<std::string> excluded;
  /// Set when another router, no longer home, sent the entry on.
  bool passed_on = false;

  bool operator==(const permit_request&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
    visit("entry", self.entry);
    visit("target", self.target);
    visit("adapter", self.adapter);
    visit("profile", self.profile);
    visit("time_left_ms", self.time_left_ms);
    visit("priority", self.priority);
    visit("fingerprint", self.fingerprint);
    visit("non_idempotent", self.non_idempotent);
    visit("crashes", self.crashes);
    visit("excluded", self.excluded);
    visit("passed_on", self.passed_on);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_PERMIT_REQUEST_HPP
