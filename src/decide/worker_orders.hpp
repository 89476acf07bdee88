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

/// The orders of one agent to its worker, one at a time.
///
/// An order whose answer was lost may be carried out seconds later, after
/// newer ones. Each order names the sequence number that it expects, and the
/// worker raises the number with each order that it accepts, so of two orders
/// that expect the same number at most one is carried out, and the state for
/// which it was decided still holds then.
class worker_orders {
 public:
  /// How long an order without an answer is waited for before another one with
  /// the same number is given.
  static constexpr milliseconds unknown_wait{60};
  /// After a refusal; the view it was decided on is being corrected.
  static constexpr milliseconds refused_wait{100};
  /// An order without an answer was seen carried out up to 12 s later.
  static constexpr milliseconds late_limit{13000};

  worker_orders(std::string holder, std::string worker_service);

  /// Orders need a number that no earlier lifetime of the agent had.
  void set_fence(std::int64_t number) { this->fence = number; }
  void set_service(std::optional<fleet::service> known) {
    this->service = std::move(known);
  }
  /// \param born When the lifetime that is meant started; 0 if it isn't known.
  void set_target(std::string server, residency_target wanted,
                  std::int64_t born = 0);

  /// Takes the worker's own fresh report in.
  void on_report(const fleet::worker_report& news, time_point now);

  /// \return The order to give now, if any; it counts as given.
  std::optional<fleet::worker_order> next(time_point now);

  void on_answer(const fleet::worker_order& order, fleet::order_answer answer,
                 time_point now);

  /// \return The model whose load is under way, or empty.
  const std::string& loading() const { return this->loading_model; }
  /// \return True if an order or a load is under way.
  bool busy() const {
    return this->given || !this->loading_model.empty() ||
           (this->report && this->report->busy);
  }

 private:
  /// An order that may still be carried out.
  struct late_order {
    std::string model;
    bool adapter = false;
    time_point until;
  };

  void on_new_lifetime(time_point now);
  void remember_late(const fleet::worker_order& order, time_point now);
  fleet::service room_beside_late_orders(time_point now) const;

  std::string holder;
  std::string service_name;
  std::int64_t fence = 0;
  std::optional<fleet::service> service;
  std::string server;
  std::int64_t server_born = 0;
  residency_target target;
  /// Of the last report, also when that counts no more.
  std::int64_t known_born = 0;
  std::int64_t known_sequence = 0;
  /// The last order given, until it is answered.
  std::optional<fleet::worker_order> unanswered;
  /// Orders without an answer of this lifetime, and of earlier ones.
  std::vector<late_order> doubtful;
  std::vector<late_order> late;
  std::optional<fleet::worker_report> report;
  std::string loading_model;
  /// The sequence number that the accepted load leads to.
  std::int64_t loading_sequence = 0;
  bool given = false;
  time_point not_before;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WORKER_ORDERS_HPP
