#ifndef BORAGEHILL_DECIDE_TARGET_ORDER_HPP
#define BORAGEHILL_DECIDE_TARGET_ORDER_HPP

#include <string>

#include "fleet/worker_order.hpp"

namespace boragehill::decide {

/// The next load or unload that brings a worker closer to its target.
struct target_order {
  fleet::worker_order::kind what = fleet::worker_order::kind::load;
  std::string model;
  /// Name of the adapter; empty for an order about the model itself.
  std::string adapter;

  bool operator==(const target_order&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_TARGET_ORDER_HPP
