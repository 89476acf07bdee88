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

/// Notify an entry router that its waiting request was granted or refused.
struct notify_entry {
  endpoint entry;
  wire::permit_answer response;

  bool operator==(const notify_entry&) const = default;
};

/// Order a server to load a model or adapter. The response is passed to
/// `home::on_load_response`.
struct order_load {
  std::string server;
  endpoint control;
  wire::wake_order order;
  /// Whether it loads from the weight store, whose concurrent loads are
  /// limited.
  bool from_store = false;
  /// Time to the earliest deadline of the requests that wait for it; 0 if none
  /// waits.
  milliseconds time_left{0};

  bool operator==(const order_load&) const = default;
};

/// Report that a load from the weight store completed or failed.
struct report_load_end {
  std::string server;
  std::string model;
  /// How long the load took; 0 if it failed.
  milliseconds duration{0};

  bool operator==(const report_load_end&) const = default;
};

/// Add grants for a model, by conditional writes, until it has `count`.
struct request_grants {
  std::string model;
  std::uint32_t count = 0;
  /// Servers without a recent report. Their grants do not count.
  std::vector<std::string> uncounted_servers;
  std::string reason;
  /// Whether the grants are requested ahead of need: no request waits for the
  /// model.
  bool is_proactive = false;

  bool operator==(const request_grants&) const = default;
};

/// Tell the other routers and the table about a quarantined request.
struct share_quarantine {
  std::string fingerprint;

  bool operator==(const share_quarantine&) const = default;
};

/// An action that a home decided on and the router carries out.
using home_action = std::variant<notify_entry, order_load, request_grants,
                                 share_quarantine, report_load_end>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HOME_ACTION_HPP
