#include "sidecar/sidecar.hpp"

#include <utility>

#include <boragehill/result_code.hpp>

#include "kernel/event_log.hpp"
#include "kernel/registry.hpp"
#include "wire/planner_codec.hpp"

namespace boragehill::sidecar {

namespace {

constexpr std::size_t task_capacity = 256;
/// The worker's report is free on its own machine; while something is under
/// way each moment counts, else a look now and then notices a restart.
constexpr milliseconds report_interval{100};
constexpr milliseconds busy_report_interval{15};
/// The worker runs on this machine and answers within some milliseconds; what
/// takes longer is taken for lost.
constexpr milliseconds worker_limit{250};
/// The planner takes a status older than 1.5 s for nothing.
constexpr milliseconds tell_interval{400};
constexpr milliseconds fence_retry{300};
/// So many reports in a row without an answer mean that the worker is gone.
constexpr int reports_to_doubt = 2;

}  // namespace

sidecar::sidecar(const sidecar_settings& settings)
    : settings(settings),
      store(kernel::registry<fleet::platform_store>::instance()
                .make(settings.store_plugin, {.address = settings.store,
                                              .timeout = settings.feed_wait})
                .value()),
      worker(kernel::registry<fleet::worker_control>::instance()
                 .make(settings.worker_plugin,
                       {.address = settings.worker, .timeout = worker_limit})
                 .value()),
      loop("agent", task_capacity),
      listener(this->loop.context(),
               [this](const std::shared_ptr<wire::message_link>& link) {
                 this->on_planner(link);
               }),
      report_timer(this->loop.context()),
      fence_timer(this->loop.context()),
      scrape("/metrics",
             [this]() -> std::optional<std::string> {
               this->metrics.set_store(this->store->statistics());
               return this->metrics.text();
             }),
      orders(settings.id, settings.service) {}

sidecar::~sidecar() {
  this->stop();
}

result<void> sidecar::start() {
  if (const auto error = this->listener.start(this->settings.link_address())) {
    return error;
  }
  if (!this->scrape.start(this->settings.metrics_address())) {
    return result_code::address_in_use;
  }
  this->store->follow_catalog(
      [this](std::shared_ptr<const fleet::catalog> news) {
        this->loop.post([this, news = std::move(news)] {
          const auto* found = news->find_service(this->settings.service);
          if (found) this->orders.set_service(*found);
          kernel::log_event(kernel::event::revision_applied,
                            {{"revision", news->version},
                             {"service_known", found != nullptr}});
        });
      });
  this->loop.start();
  this->store->start();
  this->worker->start();
  this->loop.post([this] {
    this->take_fence();
    this->ask_report();
  });
  return success();
}

void sidecar::stop() {
  this->scrape.stop();
  this->store->stop();
  this->worker->stop();
  this->loop.stop();
}

void sidecar::take_fence() {
  this->store->take_fence(
      this->settings.id, [this](const result<std::int64_t>& number) {
        this->loop.post([this, number] {
          if (number) {
            kernel::log_event(kernel::event::agent_fenced_in,
                              {{"fence", number.value()}});
            return this->orders.set_fence(number.value());
          }
          kernel::log_event(kernel::event::fence_not_taken,
                            {{"error", number.error()}});
          this->fence_timer.expires_after(fence_retry);
          this->fence_timer.async_wait([this](std::error_code cancelled) {
            if (!cancelled) this->take_fence();
          });
        });
      });
}

void sidecar::on_planner(const std::shared_ptr<wire::message_link>& link) {
  // The link holds the callbacks, so these must not hold the link.
  const std::weak_ptr<wire::message_link> weak = link;
  link->on_events(
      [this, weak](const Json::Value& message) {
        if (const auto held = weak.lock()) {
          this->on_target(held, wire::decode_worker_target(message));
        }
      },
      [this, weak] {
        if (const auto held = weak.lock()) this->planners.erase(held);
      });
  this->planners.insert(link);
  this->told_time = {};
  // A planner that takes over may know of none.
  const auto kept = this->streams.all(time_point::clock::now());
  if (kept.empty()) return;
  auto told_once = this->status;
  told_once.streams = kept;
  link->send(wire::encode(told_once));
}

void sidecar::on_target(const std::shared_ptr<wire::message_link>& link,
                        const wire::worker_target& news) {
  if (news.term < this->term) {
    kernel::log_event(kernel::event::old_planner_ignored,
                      {{"term", news.term}, {"known", this->term}});
    link->send(wire::encode(this->status));
    return;
  }
  this->term = news.term;
  this->status.term = news.term;
  this->metrics.set_term(static_cast<double>(news.term));
  this->orders.set_target(news.server, news.target, news.born);
  this->keep_streams(news);
  this->order();
}

void sidecar::keep_streams(const wire::worker_target& news) {
  const auto now = time_point::clock::now();
  this->streams.drop_expired(now);
  std::size_t left_out = 0;
  for (const auto& [stream, origin] : news.streams) {
    if (!this->streams.record(stream, origin, now)) ++left_out;
  }
  if (left_out == 0) return;
  kernel::log_event(
      kernel::event::ring_full,
      {{"ring", "streams"}, {"capacity", decide::stream_origins::capacity}});
}

void sidecar::ask_report() {
  if (this->asking) {
    this->ask_again = true;
    return;
  }
  this->asking = true;
  this->ask_again = false;
  this->worker->read_report([this](const result<fleet::worker_report>& news) {
    this->loop.post([this, news] { this->on_report(news); });
  });
}

void sidecar::on_report(const result<fleet::worker_report>& news) {
  this->asking = false;
  // Asked before an order was answered: it may show the worker before it.
  if (this->ask_again) return this->ask_report();
  if (news) {
    if (!this->status.reachable) {
      kernel::log_event(kernel::event::worker_back,
                        {{"sequence", news.value().sequence}});
    }
    if (news.value().leaving && !this->status.report.leaving) {
      kernel::log_event(kernel::event::server_leaving,
                        {{"server", news.value().server}, {"by", "report"}});
    }
    this->failed_reports = 0;
    this->status.reachable = true;
    this->status.report = news.value();
    // They change with every request, and the planner has them from routers.
    this->status.report.running = 0;
    this->status.report.waiting = 0;
    this->orders.on_report(news.value(), time_point::clock::now());
  } else if (++this->failed_reports == reports_to_doubt) {
    kernel::log_event(kernel::event::worker_lost, {{"error", news.error()}});
    this->status.reachable = false;
    this->status.report = {};
  }
  this->metrics.set_reachable(this->status.reachable);
  this->order();
  this->tell();
  this->report_timer.expires_after(this->orders.is_busy() ? busy_report_interval
                                                          : report_interval);
  this->report_timer.async_wait([this](std::error_code cancelled) {
    if (!cancelled) this->ask_report();
  });
}

void sidecar::order() {
  if (!this->status.reachable) return;
  const auto next = this->orders.next(time_point::clock::now());
  if (!next) return;
  const bool loads = next->what == fleet::worker_order::kind::load;
  this->worker->give(*next, [this, next, loads](fleet::order_answer answer) {
    this->loop.post([this, next, loads, answer] {
      this->metrics.on_order(loads ? "load" : "unload", answer);
      kernel::log_event(
          loads ? kernel::event::load_ordered : kernel::event::unload_ordered,
          {{"model", next->model},
           {"adapter", next->adapter},
           {"server", next->server},
           {"expected", next->expected},
           {"term", this->term},
           {"answer", name_of(answer)}});
      this->orders.on_response(*next, answer, time_point::clock::now());
      // The next report shows what came of it.
      this->report_timer.cancel();
      this->ask_report();
    });
  });
}

void sidecar::tell() {
  const auto now = time_point::clock::now();
  const bool due = now - this->told_time >= tell_interval;
  if (!due && this->status == this->told) return;
  this->told = this->status;
  this->told_time = now;
  std::size_t adapters = 0;
  for (const auto& each : this->status.report.models) {
    adapters += each.adapters.size();
  }
  this->metrics.set_residents(
      static_cast<double>(this->status.report.models.size()),
      static_cast<double>(adapters));
  const auto message = wire::encode(this->status);
  const auto open = this->planners;
  for (const auto& each : open) each->send(message);
}

}  // namespace boragehill::sidecar
