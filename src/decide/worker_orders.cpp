#include "decide/worker_orders.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "decide/next_order.hpp"

namespace boragehill::decide {

worker_orders::worker_orders(std::string holder, std::string worker_service)
    : holder(std::move(holder)), service_name(std::move(worker_service)) {}

void worker_orders::set_target(std::string target_server,
                               residency_target new_target,
                               std::int64_t incarnation) {
  this->server = std::move(target_server);
  this->target_incarnation = incarnation;
  this->target = std::move(new_target);
}

void worker_orders::on_report(const fleet::worker_report& new_report,
                              time_point now) {
  // The sequence number alone doesn't show a restart: it may have passed the
  // old one before the first report of the new incarnation.
  const bool restarted = new_report.born != this->known_incarnation ||
                         new_report.sequence < this->known_sequence;
  if (restarted) this->on_new_incarnation(now);
  const bool load_is_included = new_report.sequence >= this->loaded_sequence;
  if (load_is_included && !new_report.busy) this->loading_model.clear();
  this->known_incarnation = new_report.born;
  this->known_sequence = new_report.sequence;
  this->report = new_report;
}

void worker_orders::on_new_incarnation(time_point now) {
  this->loading_model.clear();
  this->loaded_sequence = 0;
  this->not_before = now;
  if (this->sent_order) {
    this->remember_unconfirmed(*this->sent_order, now);
  }
  std::erase_if(this->orphaned_orders,
                [now](const auto& delayed) { return delayed.until <= now; });
  std::move(this->unconfirmed_orders.begin(), this->unconfirmed_orders.end(),
            std::back_inserter(this->orphaned_orders));
  this->unconfirmed_orders.clear();
}

void worker_orders::remember_unconfirmed(const fleet::worker_order& order,
                                         time_point now) {
  std::erase_if(this->unconfirmed_orders,
                [now](const auto& delayed) { return delayed.until <= now; });
  if (order.what != fleet::worker_order::kind::load) return;
  this->unconfirmed_orders.push_back({.model = order.model,
                                      .is_adapter = !order.adapter.empty(),
                                      .until = now + max_order_delay});
}

fleet::service worker_orders::available_capacity(time_point now) const {
  auto capacity = *this->service;
  std::set<std::string> counted_models;
  for (const auto& order : this->orphaned_orders) {
    if (order.until <= now) continue;
    const auto* model = capacity.find_model(order.model);
    if (order.is_adapter) {
      --capacity.adapter_places;
      if (model) capacity.weights_mb -= model->adapter_mb;
    } else if (model && counted_models.insert(order.model).second) {
      capacity.weights_mb -= model->weights_mb;
    }
  }
  capacity.adapter_places = std::max(capacity.adapter_places, 0);
  return capacity;
}

std::optional<fleet::worker_order> worker_orders::next(time_point now) {
  if (this->is_order_in_flight || now < this->not_before) return std::nullopt;
  if (this->fence == 0 || !this->service || !this->report) return std::nullopt;
  if (this->server.empty()) return std::nullopt;
  // The target was decided for another incarnation of the worker with the same
  // id, so the server name in the order would not prevent its execution.
  const bool both_known =
      this->target_incarnation != 0 && this->report->born != 0;
  if (both_known && this->target_incarnation != this->report->born) {
    return std::nullopt;
  }
  const auto order = next_order(*this->report, this->loading_model,
                                this->target, this->available_capacity(now));
  if (!order) return std::nullopt;
  this->is_order_in_flight = true;
  this->sent_order = fleet::worker_order{.what = order->what,
                                         .model = order->model,
                                         .adapter = order->adapter,
                                         .server = this->server,
                                         .expected = this->report->sequence,
                                         .holder = this->holder,
                                         .fence = this->fence};
  return this->sent_order;
}

void worker_orders::on_response(const fleet::worker_order& order,
                                fleet::order_answer response, time_point now) {
  this->is_order_in_flight = false;
  this->sent_order.reset();
  const bool is_model_load =
      order.what == fleet::worker_order::kind::load && order.adapter.empty();
  switch (response) {
    case fleet::order_answer::accepted:
      // Issue no further order until a report shows the effect.
      this->report.reset();
      if (!is_model_load) return;
      this->loading_model = order.model;
      this->loaded_sequence = order.expected + 1;
      return;
    case fleet::order_answer::unknown:
      this->remember_unconfirmed(order, now);
      this->report.reset();
      this->not_before = now + unknown_response_delay;
      return;
    case fleet::order_answer::conflict:
    case fleet::order_answer::refused:
      this->report.reset();
      this->not_before = now + rejection_delay;
      return;
  }
}

}  // namespace boragehill::decide
