#ifndef BORAGEHILL_ROUTER_REQUEST_RECORD_HPP
#define BORAGEHILL_ROUTER_REQUEST_RECORD_HPP

#include <cstdint>
#include <string>

namespace boragehill::router {

/// How one request went at its entry router.
struct request_record {
  /// "incarnation.sequence", as the `Boragehill-Request` header gives it.
  std::string id;
  std::string service;
  std::string target;
  std::int64_t took_ms = 0;
  /// "answered", "streaming" or the name of the refusal's code.
  std::string ending;
  std::string message;

  bool operator==(const request_record&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("id", self.id);
    visit("service", self.service);
    visit("target", self.target);
    visit("took_ms", self.took_ms);
    visit("ending", self.ending);
    visit("message", self.message);
  }
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_REQUEST_RECORD_HPP
