#ifndef BORAGEHILL_DECIDE_WORKER_ORDERS_HPP
#define BORAGEHILL_DECIDE_WORKER_ORDERS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/residency_target.hpp"
#include "fleet/order_answer.hpp"
#include "fleet/service.hpp"
#include "fleet/worker_order.hpp"
#include "fleet/worker_report.hpp"

namespace boragehill::decide {

/// Issues the orders of an agent to its worker, one at a time.
///
/// An order whose response was lost may be executed seconds later, after newer
/// ones. Each order names the sequence number that it expects, and the worker
/// increments the number with each order that it accepts. So at most one of two
/// orders that expect the same number is executed, and only in the state for
/// which it was decided.
class worker_orders {
 public:
  /// Delay after an order without a response before another one with the same
  /// sequence number is issued.
  static constexpr milliseconds unknown_response_delay{60};
  /// Delay after a rejected order, until the view that it was based on has been
  /// corrected.
  static constexpr milliseconds rejection_delay{100};
  /// Time after which an order without a response is no longer executed. Orders
  /// were seen executed up to 12 s late.
  static constexpr milliseconds max_order_delay{13000};

  worker_orders(std::string holder, std::string worker_service);

  /// Sets the fencing number, which no earlier incarnation of the agent had;
  /// without it no order is issued.
  void set_fence(std::int64_t number) { this->fence = number; }
  void set_service(std::optional<fleet::service> new_service) {
    this->service = std::move(new_service);
  }
  /// Sets the residency that the worker is to reach.
  /// \param target_server Id of the worker, named in its orders.
  /// \param incarnation Start time of the worker's incarnation for which the
  ///     target was decided; 0 if unknown.
  void set_target(std::string target_server, residency_target new_target,
                  std::int64_t incarnation = 0);

  /// Processes a fresh report of the worker itself.
  void on_report(const fleet::worker_report& new_report, time_point now);

  /// \return The order to send now, if any; it counts as sent.
  std::optional<fleet::worker_order> next(time_point now);

  void on_response(const fleet::worker_order& order,
                   fleet::order_answer response, time_point now);

  /// \return The model that is being loaded, or empty.
  const std::string& loading() const { return this->loading_model; }
  /// \return True if an order or a load is in progress.
  bool is_busy() const {
    return this->is_order_in_flight || !this->loading_model.empty() ||
           (this->report && this->report->busy);
  }

 private:
  /// A load order without a response, which may still be executed.
  struct delayed_order {
    std::string model;
    bool is_adapter = false;
    time_point until;
  };

  void on_new_incarnation(time_point now);
  void remember_unconfirmed(const fleet::worker_order& order, time_point now);
  fleet::service available_capacity(time_point now) const;

  std::string holder;
  std::string service_name;
  std::int64_t fence = 0;
  std::optional<fleet::service> service;
  std::string server;
  std::int64_t target_incarnation = 0;
  residency_target target;
  /// Start time and sequence number of the worker as of the last report, kept
  /// when `report` is discarded.
  std::int64_t known_incarnation = 0;
  std::int64_t known_sequence = 0;
  /// The last order sent, until its response.
  std::optional<fleet::worker_order> sent_order;
  /// Orders without a response: of the worker's current incarnation, and of
  /// earlier ones.
  std::vector<delayed_order> unconfirmed_orders;
  std::vector<delayed_order> orphaned_orders;
  std::optional<fleet::worker_report> report;
  std::string loading_model;
  /// Sequence number of the worker after the accepted load order.
  std::int64_t loaded_sequence = 0;
  bool is_order_in_flight = false;
  time_point not_before;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WORKER_ORDERS_HPP
