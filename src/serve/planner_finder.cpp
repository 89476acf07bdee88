#include "serve/planner_finder.hpp"

#include <utility>

#include "kernel/event_log.hpp"
#include "kernel/random.hpp"

namespace boragehill::serve {

namespace {

/// Before a new look after a link was lost; at random up to twice as long, so
/// that the routers don't all write at once.
constexpr milliseconds look_again{120};
/// While the store doesn't answer.
constexpr milliseconds store_backoff{400};

milliseconds spread(milliseconds wait) {
  return wait + milliseconds(kernel::random_bits() %
                             static_cast<std::uint64_t>(wait.count() + 1));
}

}  // namespace

planner_finder::planner_finder(kernel::event_loop& loop,
                               fleet::platform_store& store,
                               fleet::planner_row own, milliseconds reluctance)
    : loop(loop),
      store(store),
      own(std::move(own)),
      reluctance(reluctance),
      timer(loop.context()) {}

void planner_finder::on_events(message_receiver receive_message,
                               lost_receiver lost, lead_receiver lead,
                               quarantine_receiver quarantine) {
  this->receive = std::move(receive_message);
  this->on_lost = std::move(lost);
  this->on_lead = std::move(lead);
  this->on_quarantine = std::move(quarantine);
}

void planner_finder::start() {
  this->look_later(milliseconds(1));
}

void planner_finder::stop() {
  this->stopped = true;
  this->timer.cancel();
  if (this->link) this->link->close();
}

void planner_finder::look_later(milliseconds wait) {
  if (this->stopped) return;
  this->timer.expires_after(spread(wait));
  this->timer.async_wait([this](std::error_code cancelled) {
    if (!cancelled) this->look();
  });
}

void planner_finder::look() {
  this->store.read_planner([this](const result<fleet::planner_state>& state) {
    this->loop.post([this, state] { this->on_row(state); });
  });
}

void planner_finder::on_row(const result<fleet::planner_state>& state) {
  if (this->stopped) return;
  if (!state) return this->look_later(store_backoff);
  this->on_quarantine(state.value().quarantine);
  const auto& found = state.value().planner;
  // A row of an earlier lifetime of this process names us, too.
  const bool ours = found.router == this->own.router;
  const bool vacant = found.router.empty() || found.term == this->failed_term;
  if (vacant || (ours && found.term != this->followed.term)) {
    return this->take_later(found);
  }
  this->follow(found);
}

void planner_finder::take_later(const fleet::planner_row& known) {
  if (this->reluctance == milliseconds(0)) return this->take(known);
  // By then a stronger router has taken it; the condition on the row tells.
  this->timer.expires_after(this->reluctance);
  this->timer.async_wait([this, known](std::error_code cancelled) {
    if (!cancelled && !this->stopped) this->take(known);
  });
}

void planner_finder::take(const fleet::planner_row& known) {
  this->store.take_planner(known, this->own,
                           [this](const result<fleet::planner_row>& row) {
                             this->loop.post([this, row] {
                               if (this->stopped) return;
                               if (!row) return this->look_later(store_backoff);
                               const auto& found = row.value();
                               if (found.router == this->own.router)
                                 this->on_lead(found.term);
                               this->follow(found);
                             });
                           });
}

void planner_finder::follow(const fleet::planner_row& row) {
  this->followed = row;
  kernel::log_event(kernel::event::planner_followed,
                    {{"term", row.term}, {"router", row.router}});
  this->link = std::make_shared<wire::message_link>(this->loop.context());
  this->link->on_events(this->receive, [this] { this->on_link_lost(); });
  this->link->connect(row.address);
}

void planner_finder::on_link_lost() {
  kernel::log_event(
      kernel::event::planner_lost,
      {{"term", this->followed.term}, {"router", this->followed.router}});
  const bool reached = this->link && this->link->was_connected();
  if (reached) this->loss.on_connected();
  if (this->loss.on_link_ended(this->followed.term, reached)) {
    this->failed_term = this->followed.term;
  }
  this->link.reset();
  this->on_lost();
  this->look_later(look_again);
}

void planner_finder::send(const Json::Value& message) {
  if (this->link) this->link->send(message);
}

}  // namespace boragehill::serve
