#ifndef BORAGEHILL_FLEET_WORKER_CONTROL_HPP
#define BORAGEHILL_FLEET_WORKER_CONTROL_HPP

#include <functional>

#include <boragehill/result.hpp>

#include "fleet/order_answer.hpp"
#include "fleet/worker_order.hpp"
#include "fleet/worker_report.hpp"

namespace boragehill::fleet {

/// Asks and orders the one model worker beside an agent. Calls return at once;
/// callbacks run on the control's own thread.
class worker_control {
 public:
  using report_receiver = std::function<void(result<worker_report>)>;
  using order_receiver = std::function<void(order_answer)>;

  worker_control() = default;
  worker_control(const worker_control&) = delete;
  worker_control& operator=(const worker_control&) = delete;
  virtual ~worker_control() = default;

  /// Asks for the worker's report.
  virtual void read_report(report_receiver receive) = 0;

  /// Gives an order.
  virtual void give(const worker_order& order, order_receiver receive) = 0;

  virtual void start() = 0;
  virtual void stop() = 0;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_WORKER_CONTROL_HPP
