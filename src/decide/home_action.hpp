#ifndef BORAGEHILL_DECIDE_HOME_ACTION_HPP
#define BORAGEHILL_DECIDE_HOME_ACTION_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "wire/permit_answer.hpp"
#include "wire/wake_order.hpp"

namespace boragehill::decide {

/// Tell an entry router that its waiting request's turn came, or never will.
struct tell_entry {
  endpoint entry;
  wire::permit_answer answer;

  bool operator==(const tell_entry&) const = default;
};

/// Order a wake; its answer comes back through `home::on_wake_answer`.
struct order_wake {
  std::string server;
  endpoint control;
  wire::wake_order order;
  /// It loads from the weight store, which is paced.
  bool remote = false;
  /// The earliest deadline among the requests that wait for it.
  milliseconds time_left{0};

  bool operator==(const order_wake&) const = default;
};

/// A load from the weight store ended, well or not.
struct load_ended {
  std::string server;
  std::string model;
  /// 0 for a load that failed.
  milliseconds took{0};

  bool operator==(const load_ended&) const = default;
};

/// Bring a model's grants to a number by conditional writes.
struct want_grants {
  std::string model;
  std::uint32_t number = 0;
  /// Servers that do not count towards the number: suspected ones.
  std::vector<std::string> not_counted;
  std::string reason;
  /// No request waits for the model.
  bool ahead = false;

  bool operator==(const want_grants&) const = default;
};

/// Tell the other routers, and the table, of a request that crashes servers.
struct share_conviction {
  std::string fingerprint;

  bool operator==(const share_conviction&) const = default;
};

/// What a home asks its surroundings to do.
using home_action = std::variant<tell_entry, order_wake, want_grants,
                                 share_conviction, load_ended>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HOME_ACTION_HPP
