#include "serve/load_watch.hpp"

#include <algorithm>

#include "kernel/event_log.hpp"
#include "kernel/link_bytes.hpp"
#include "serve/entry_metrics.hpp"

namespace boragehill::serve {

namespace {

constexpr milliseconds sample_interval{50};
/// Overload comes and goes as connections are rejected; what is less far apart
/// is logged as one.
constexpr milliseconds overload_gap{1000};

const char* name_of(decide::overload_cause cause) {
  return cause == decide::overload_cause::processor ? "processor" : "link";
}

}  // namespace

load_watch::load_watch(asio::io_context& context, entry_metrics& metrics,
                       double link_mbps)
    : timer(context), metrics(metrics), detector(link_mbps) {}

void load_watch::start() {
  this->measure_in(sample_interval);
}

void load_watch::on_rejected() {
  ++this->rejected;
  this->metrics.on_connection_rejected();
}

void load_watch::measure_in(milliseconds wait) {
  this->timer.expires_after(wait);
  this->timer.async_wait([this](std::error_code cancelled) {
    if (cancelled) return;
    this->measure();
    this->measure_in(sample_interval);
  });
}

void load_watch::measure() {
  const auto now = time_point::clock::now();
  const auto& bytes = kernel::process_link_bytes;
  const milliseconds late(ms_between(this->timer.expiry(), now));
  this->detector.on_sample({.at = now,
                            .delay = std::max(late, milliseconds(0)),
                            .queued = this->queue_left && !this->queue_empty,
                            .received = bytes.received,
                            .sent = bytes.sent});
  this->queue_left = false;
  this->queue_empty = false;
  this->metrics.set_load(this->detector.standing_delay(),
                         this->detector.link_share());
  this->log_overload(now);
  if (this->detector.queue_stands()) this->queue_stands();
}

void load_watch::log_overload(time_point now) {
  if (const auto cause = this->overload()) {
    if (!this->began) this->log_began(*cause, now);
    this->last_overloaded = now;
    return;
  }
  if (!this->began || now - this->last_overloaded < overload_gap) return;
  kernel::log_event(
      kernel::event::overload_ended,
      {{"lasted_ms", ms_between(*this->began, this->last_overloaded)},
       {"rejected", this->rejected}});
  this->began.reset();
}

void load_watch::log_began(decide::overload_cause cause, time_point now) {
  this->began = now;
  this->rejected = 0;
  kernel::log_event(kernel::event::overload_began,
                    {{"by", name_of(cause)},
                     {"delay_ms", this->detector.standing_delay().count()},
                     {"queued", this->detector.queue_stands()},
                     {"link_share", this->detector.link_share()}});
}

}  // namespace boragehill::serve
