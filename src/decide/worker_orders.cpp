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
  this->server_born = born;
  this->target = std::move(wanted);
}

void worker_orders::on_report(const fleet::worker_report& news,
                              time_point now) {
  // The sequence number alone doesn't show a restart: it may have passed the
  // old one before the first report of the new incarnation.
  const bool restarted =
      news.born != this->known_born || news.sequence < this->known_sequence;
  if (restarted) this->on_new_lifetime(now);
  const bool taken_in = news.sequence >= this->loading_sequence;
  if (taken_in && !news.busy) this->loading_model.clear();
  this->known_born = news.born;
  this->known_sequence = news.sequence;
  this->report = news;
}

void worker_orders::on_new_lifetime(time_point now) {
  this->loading_model.clear();
  this->loading_sequence = 0;
  this->not_before = now;
  if (this->unanswered) this->remember_late(*this->unanswered, now);
  std::erase_if(this->late,
                [now](const auto& each) { return each.until <= now; });
  std::move(this->doubtful.begin(), this->doubtful.end(),
            std::back_inserter(this->late));
  this->doubtful.clear();
}

void worker_orders::remember_late(const fleet::worker_order& order,
                                  time_point now) {
  std::erase_if(this->doubtful,
                [now](const auto& each) { return each.until <= now; });
  if (order.what != fleet::worker_order::kind::load) return;
  this->doubtful.push_back({.model = order.model,
                            .adapter = !order.adapter.empty(),
                            .until = now + late_limit});
}

fleet::service worker_orders::room_beside_late_orders(time_point now) const {
  auto room = *this->service;
  std::set<std::string> counted;
  for (const auto& each : this->late) {
    if (each.until <= now) continue;
    const auto* model = room.find_model(each.model);
    if (each.adapter) {
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
  if (this->given || now < this->not_before) return std::nullopt;
  if (this->fence == 0 || !this->service || !this->report) return std::nullopt;
  if (this->server.empty()) return std::nullopt;
  // The target was decided for another incarnation of the worker with the same
  // id, so the server name in the order would not prevent its execution.
  const bool known = this->server_born != 0 && this->report->born != 0;
  if (known && this->server_born != this->report->born) return std::nullopt;
  const auto wanted =
      next_order(*this->report, this->loading_model, this->target,
                 this->room_beside_late_orders(now));
  if (!wanted) return std::nullopt;
  this->given = true;
  this->unanswered = fleet::worker_order{.what = wanted->what,
                                         .model = wanted->model,
                                         .adapter = wanted->adapter,
                                         .server = this->server,
                                         .expected = this->report->sequence,
                                         .holder = this->holder,
                                         .fence = this->fence};
  return this->unanswered;
}

void worker_orders::on_answer(const fleet::worker_order& order,
                              fleet::order_answer answer, time_point now) {
  this->given = false;
  this->unanswered.reset();
  const bool loads_model =
      order.what == fleet::worker_order::kind::load && order.adapter.empty();
  switch (answer) {
    case fleet::order_answer::accepted:
      // Issue no further order until a report shows the effect.
      this->report.reset();
      if (!loads_model) return;
      this->loading_model = order.model;
      this->loading_sequence = order.expected + 1;
      return;
    case fleet::order_answer::unknown:
      this->remember_late(order, now);
      this->report.reset();
      this->not_before = now + unknown_wait;
      return;
    case fleet::order_answer::conflict:
    case fleet::order_answer::refused:
      this->report.reset();
      this->not_before = now + refused_wait;
      return;
  }
}

}  // namespace boragehill::decide
