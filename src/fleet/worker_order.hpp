#ifndef BORAGEHILL_FLEET_WORKER_ORDER_HPP
#define BORAGEHILL_FLEET_WORKER_ORDER_HPP

#include <cstdint>
#include <string>

namespace boragehill::fleet {

/// An order to a model worker.
struct worker_order {
  enum class kind { load, unload };

  kind what = kind::load;
  std::string model;
  /// Empty if the order concerns the model itself.
  std::string adapter;
  /// The lifetime of the worker that may carry it out.
  std::string server;
  /// Orders that the worker has accepted so far; it refuses if it isn't so.
  std::int64_t expected = 0;
  std::string holder;
  std::int64_t fence = 0;

  bool operator==(const worker_order&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_WORKER_ORDER_HPP
