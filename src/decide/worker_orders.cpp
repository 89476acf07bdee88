#include "decide/worker_orders.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "decide/next_order.hpp"

namespace boragehill::decide {

worker_orders::worker_orders(std::string holder, std::string worker_service)
    : holder(std::move(holder)), service_name(std::move(worker_service)) {}

void worker_orders::set_target(std::string meant, residency_target wanted,
                               std::int64_t born) {
  this->server = std::move(meant);
  this->target_incarnation = born;
  this->target = std::move(wanted);
}

void worker_orders::on_report(const fleet::worker_report& news,
                              time_point now) {
  // The sequence number alone doesn't show a restart: it may have passed the
  // old one before the first report of the new incarnation.
  const bool restarted = news.born != this->known_incarnation ||
                         news.sequence < this->known_sequence;
  if (restarted) this->on_new_incarnation(now);
  const bool taken_in = news.sequence >= this->loaded_sequence;
  if (taken_in && !news.busy) this->loading_model.clear();
  this->known_incarnation = news.born;
  this->known_sequence = news.sequence;
  this->report = news;
}

void worker_orders::on_new_incarnation(time_point now) {
  this->loading_model.clear();
  this->loaded_sequence = 0;
  this->not_before = now;
  if (this->unanswered_order)
    this->remember_unanswered(*this->unanswered_order, now);
  std::erase_if(this->orphaned_orders,
                [now](const auto& each) { return each.until <= now; });
  std::move(this->unconfirmed_orders.begin(), this->unconfirmed_orders.end(),
            std::back_inserter(this->orphaned_orders));
  this->unconfirmed_orders.clear();
}

void worker_orders::remember_unanswered(const fleet::worker_order& order,
                                        time_point now) {
  std::erase_if(this->unconfirmed_orders,
                [now](const auto& each) { return each.until <= now; });
  if (order.what != fleet::worker_order::kind::load) return;
  this->unconfirmed_orders.push_back({.model = order.model,
                                      .is_adapter = !order.adapter.empty(),
                                      .until = now + max_order_delay});
}

fleet::service worker_orders::available_capacity(time_point now) const {
  auto room = *this->service;
  std::set<std::string> counted;
  for (const auto& each : this->orphaned_orders) {
    if (each.until <= now) continue;
    const auto* model = room.find_model(each.model);
    if (each.is_adapter) {
      --room.adapter_places;
      if (model) room.weights_mb -= model->adapter_mb;
    } else if (model && counted.insert(each.model).second) {
      room.weights_mb -= model->weights_mb;
    }
  }
  room.adapter_places = std::max(room.adapter_places, 0);
  return room;
}

std::optional<fleet::worker_order> worker_orders::next(time_point now) {
  if (this->is_order_in_flight || now < this->not_before) return std::nullopt;
  if (this->fence == 0 || !this->service || !this->report) return std::nullopt;
  if (this->server.empty()) return std::nullopt;
  // The target was decided for another incarnation of the worker with the same
  // id, so the server name in the order would not prevent its execution.
  const bool known = this->target_incarnation != 0 && this->report->born != 0;
  if (known && this->target_incarnation != this->report->born)
    return std::nullopt;
  const auto wanted = next_order(*this->report, this->loading_model,
                                 this->target, this->available_capacity(now));
  if (!wanted) return std::nullopt;
  this->is_order_in_flight = true;
  this->unanswered_order =
      fleet::worker_order{.what = wanted->what,
                          .model = wanted->model,
                          .adapter = wanted->adapter,
                          .server = this->server,
                          .expected = this->report->sequence,
                          .holder = this->holder,
                          .fence = this->fence};
  return this->unanswered_order;
}

void worker_orders::on_response(const fleet::worker_order& order,
                                fleet::order_answer answer, time_point now) {
  this->is_order_in_flight = false;
  this->unanswered_order.reset();
  const bool loads_model =
      order.what == fleet::worker_order::kind::load && order.adapter.empty();
  switch (answer) {
    case fleet::order_answer::accepted:
      // Issue no further order until a report shows the effect.
      this->report.reset();
      if (!loads_model) return;
      this->loading_model = order.model;
      this->loaded_sequence = order.expected + 1;
      return;
    case fleet::order_answer::unknown:
      this->remember_unanswered(order, now);
      this->report.reset();
      this->not_before = now + unknown_response_delay;
      return;
    case fleet::order_answer::conflict:
    case fleet::order_answer::refused:
      this->report.reset();
      this->not_before = now + refusal_delay;
      return;
  }
}

}  // namespace boragehill::decide
