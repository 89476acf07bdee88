#include "decide/worker_orders.hpp"

#include <utility>

#include "decide/next_order.hpp"

namespace boragehill::decide {

worker_orders::worker_orders(std::string holder, std::string worker_service)
    : holder(std::move(holder)), service_name(std::move(worker_service)) {}

void worker_orders::set_target(std::string meant, residency_target wanted) {
  this->server = std::move(meant);
  this->target = std::move(wanted);
}

void worker_orders::on_report(const fleet::worker_report& news,
                              time_point now) {
  const bool restarted = this->report && news.sequence < this->report->sequence;
  const bool taken_in = news.sequence >= this->loading_sequence;
  if (restarted || (taken_in && !news.busy)) this->loading_model.clear();
  if (restarted) this->not_before = now;
  this->report = news;
}

std::optional<fleet::worker_order> worker_orders::next(time_point now) {
  if (this->given || now < this->not_before) return std::nullopt;
  if (this->fence == 0 || !this->service || !this->report) return std::nullopt;
  if (this->server.empty()) return std::nullopt;
  const auto wanted = next_order(*this->report, this->loading_model,
                                 this->target, *this->service);
  if (!wanted) return std::nullopt;
  this->given = true;
  return fleet::worker_order{.what = wanted->what,
                             .model = wanted->model,
                             .adapter = wanted->adapter,
                             .server = this->server,
                             .expected = this->report->sequence,
                             .holder = this->holder,
                             .fence = this->fence};
}

void worker_orders::on_answer(const fleet::worker_order& order,
                              fleet::order_answer answer, time_point now) {
  this->given = false;
  const bool loads_model =
      order.what == fleet::worker_order::kind::load && order.adapter.empty();
  switch (answer) {
    case fleet::order_answer::accepted:
      // Nothing more until a report shows what came of it.
      this->report.reset();
      if (!loads_model) return;
      this->loading_model = order.model;
      this->loading_sequence = order.expected + 1;
      return;
    case fleet::order_answer::unknown:
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
