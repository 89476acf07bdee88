#include "serve/entry.hpp"

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

#include <boragehill/result_code.hpp>

#include "kernel/event_log.hpp"
#include "kernel/listen.hpp"
#include "kernel/plugin_settings.hpp"
#include "kernel/registry.hpp"
#include "serve/caller_session.hpp"
#include "serve/exchange.hpp"
#include "wire/planner_codec.hpp"

namespace boragehill::serve {

namespace {

constexpr std::size_t task_capacity = 1024;
/// The planner is told so often of a demand that changes, and at once, but for
/// a moment, of a request that has to wait.
constexpr milliseconds report_interval{100};
constexpr milliseconds urgent_delay{3};
constexpr milliseconds tidy_interval{1000};
/// The planner sends each router some kilobytes a second; on a link below this
/// that would crowd out the answers to callers.
constexpr double weak_link_mbps = 100;
constexpr milliseconds weak_machine_waits{400};
/// After a start, callers' connections wait in the listen queue until the
/// configuration, the servers and what is quarantined are read, some ten
/// milliseconds: taken at once, their requests were refused for want of a
/// configuration and came back late (28 at the restart of four routers), or
/// crashed a server once more. While the store is away they are taken after
/// this, and refused.
constexpr milliseconds first_read_limit{600};
constexpr milliseconds first_read_poll{5};
/// More wait in the listen queue, so that requests under way aren't held up by
/// new ones.
constexpr int accepted_at_once = 2;
/// Left before the kill for the last bytes and the end of the threads.
constexpr milliseconds stop_margin{500};
constexpr milliseconds drain_poll{50};
constexpr milliseconds goodbye_poll{10};

}  // namespace

entry::entry(const entry_settings& settings)
    : settings(settings),
      codec(kernel::registry<fleet::request_codec>::instance()
                .make("headers", {})
                .value()),
      store(kernel::registry<fleet::platform_store>::instance()
                .make(settings.store_plugin, {.address = settings.store,
                                              .timeout = settings.feed_wait})
                .value()),
      loop("traffic", task_capacity),
      planner(settings),
      requests(this->loop.context(), settings, *this->codec, this->metrics),
      finder(std::make_unique<planner_finder>(
          this->loop, *this->store,
          fleet::planner_row{.router = settings.id,
                             .address = settings.link_address()},
          settings.link_mbps < weak_link_mbps ? weak_machine_waits
                                              : milliseconds(0))),
      keeper(this->loop, *this->store),
      acceptor(this->loop.context()),
      load(this->loop.context(), this->metrics, settings.link_mbps),
      report_timer(this->loop.context()),
      tidy_timer(this->loop.context()),
      accept_timer(this->loop.context()),
      readiness("/readyz",
                [this]() -> std::optional<std::string> {
                  if (!this->is_ready()) return std::nullopt;
                  return "ready\n";
                }),
      scrape("/metrics", [this]() -> std::optional<std::string> {
        this->metrics.set_lines_dropped(
            static_cast<double>(kernel::dropped_lines()));
        this->metrics.set_store(this->store->statistics());
        return this->metrics.text();
      }) {}

entry::~entry() {
  this->stop();
}

result<void> entry::start() {
  if (const auto error =
          kernel::listen(this->acceptor, this->settings.listen)) {
    return error;
  }
  std::error_code failed;
  this->acceptor.non_blocking(true, failed);
  if (failed) return failed;
  if (const auto error = this->planner.start()) return error;
  if (!this->readiness.start(this->settings.ready)) {
    return result_code::address_in_use;
  }
  if (!this->scrape.start(this->settings.metrics_address())) {
    return result_code::address_in_use;
  }
  this->finder->on_events(
      [this](const Json::Value& message) {
        this->requests.on_view(wire::decode_view_update(message));
      },
      [this] {
        this->last_report.reset();
        this->requests.on_planner_lost();
      },
      [this](std::int64_t term) { this->planner.lead(term, this->quarantine); },
      [this](const fleet::quarantine_row& row) { this->on_quarantine(row); });
  this->planner.on_quarantine([this](const fleet::quarantine_row& row) {
    this->loop.post([this, row] { this->keeper.write(row); });
  });
  this->requests.on_waiting([this] { this->on_waiting(); });
  this->load.on_standing_queue([this] { this->reject_waiting(); });
  this->follow_store();
  this->loop.start();
  this->loop.post([this] {
    this->accept_when_known(time_point::clock::now() + first_read_limit);
    this->finder->start();
    this->load.start();
    this->report_in(report_interval);
    this->tidy();
  });
  this->store->start();
  return success();
}

void entry::follow_store() {
  this->store->follow_catalog(
      [this](std::shared_ptr<const fleet::catalog> news) {
        this->planner.set_catalog(news);
        this->loop.post([this, news = std::move(news)] {
          this->caller_limits = news->limits;
          this->requests.set_catalog(news);
          this->knows_fleet = this->requests.knows_fleet();
        });
      });
  this->store->follow_servers(
      [this](std::shared_ptr<const fleet::server_list> news) {
        this->planner.set_servers(news);
        this->loop.post([this, news = std::move(news)] {
          this->requests.set_servers(*news);
          this->knows_fleet = this->requests.knows_fleet();
        });
      });
}

void entry::on_quarantine(const fleet::quarantine_row& row) {
  this->quarantine = row;
  this->knows_quarantine = true;
  this->keeper.on_read(row);
  this->requests.restore_quarantine(row);
}

bool entry::is_ready() const {
  return this->knows_fleet && !this->stopping;
}

const fleet::caller_limits& entry::limits() const {
  return this->caller_limits;
}

void entry::accept_when_known(time_point limit) {
  const bool is_known = this->knows_fleet && this->knows_quarantine;
  if (is_known || time_point::clock::now() >= limit) {
    return this->accept();
  }
  this->accept_timer.expires_after(first_read_poll);
  this->accept_timer.async_wait([this, limit](std::error_code cancelled) {
    if (!cancelled) this->accept_when_known(limit);
  });
}

void entry::accept() {
  this->acceptor.async_wait(asio::ip::tcp::acceptor::wait_read,
                            [this](std::error_code ended) {
                              if (ended) return;
                              this->take_connections();
                              this->accept();
                            });
}

void entry::take_connections() {
  for (int each = 0; each < accepted_at_once; ++each) {
    const auto now = time_point::clock::now();
    if (!this->admission.admits(this->load.rejects_new(), now)) {
      return this->reject_waiting();
    }
    if (!this->take_connection(now)) return this->load.on_queue_empty();
  }
  if (kernel::connection_waits(this->acceptor)) {
    this->load.on_queue_left();
  } else {
    this->load.on_queue_empty();
  }
}

bool entry::take_connection(time_point now) {
  asio::ip::tcp::socket socket(this->loop.context());
  std::error_code failed;
  this->acceptor.accept(socket, failed);
  if (failed) return false;
  this->admission.on_admitted(now);
  this->on_accepted(std::move(socket));
  return true;
}

void entry::reject_waiting() {
  for (int each = 0; each < kernel::longest_listen_queue; ++each) {
    if (!kernel::reject_next(this->acceptor)) break;
    this->load.on_rejected();
  }
  this->load.on_queue_empty();
}

void entry::on_accepted(asio::ip::tcp::socket socket) {
  auto session = std::make_shared<caller_session>(std::move(socket), *this);
  this->sessions[session.get()] = session;
  session->start();
}

std::shared_ptr<exchange> entry::begin(
    caller_request request, const std::shared_ptr<caller_session>& session) {
  return std::make_shared<exchange>(this->loop.context(), this->requests,
                                    std::move(request), session);
}

bool entry::take_body_memory(std::size_t bytes) {
  if (this->body_bytes + bytes > this->settings.body_memory()) return false;
  this->body_bytes += bytes;
  return true;
}

void entry::give_body_memory(std::size_t bytes) {
  this->body_bytes -= bytes;
}

void entry::on_response_bytes(std::size_t before, std::size_t after) {
  this->responses.on_change(before, after);
  if (!this->responses.is_exceeded() || this->frees_responses) return;
  // A session must not be closed while it writes.
  this->frees_responses = true;
  this->loop.post([this] { this->free_response_memory(); });
}

void entry::free_response_memory() {
  this->frees_responses = false;
  std::vector<std::shared_ptr<caller_session>> open;
  std::vector<decide::held_response> held;
  for (const auto& [session, weak] : this->sessions) {
    const auto found = weak.lock();
    if (!found) continue;
    open.push_back(found);
    held.push_back(found->held_response());
  }
  const auto before = this->responses.held();
  const auto closed = this->responses.choose_closed(held);
  if (closed.empty()) return;
  for (const auto index : closed) open[index]->disconnect();
  this->metrics.on_slow_callers_closed(static_cast<double>(closed.size()));
  kernel::log_event(kernel::event::slow_callers_closed,
                    {{"closed", closed.size()},
                     {"open", open.size()},
                     {"held_bytes", before},
                     {"left_bytes", this->responses.held()}});
}

void entry::on_bad_input(int status, const char* why) {
  this->metrics.on_bad_input();
  kernel::log_event(kernel::event::bad_input,
                    {{"status", status}, {"reason", why}});
}

void entry::on_closed(const caller_session* session) {
  this->sessions.erase(session);
}

void entry::report_in(milliseconds wait) {
  this->report_timer.expires_after(wait);
  this->report_timer.async_wait([this](std::error_code cancelled) {
    if (cancelled) return;
    this->report_armed = false;
    this->report();
    this->report_in(report_interval);
  });
}

void entry::on_waiting() {
  if (this->report_armed) return;
  this->report_armed = true;
  this->report_in(urgent_delay);
}

void entry::report() {
  this->requests.watch_silence();
  this->requests.judge_waiting();
  if (!this->finder->linked()) return;
  auto report = this->requests.take_report();
  auto limits = this->requests.take_rate_limit_report();
  auto quotas = this->requests.take_quota_report();
  // What is told of silence counts only while it is fresh.
  const bool same = report == this->last_report && report.demands.empty() &&
                    report.unresponsive_servers.empty();
  // That no token is needed any more is told once.
  const bool needed_tokens =
      std::exchange(this->needs_tokens, !limits.needed.empty());
  // The same is true of quotas.
  const bool needed_quotas =
      std::exchange(this->needs_quotas, quotas && !quotas->needs.empty());
  wire::router_report message{.router = this->settings.id,
                              .demand = report,
                              .rate_limits = std::move(limits),
                              .quotas = std::move(quotas)};
  this->requests.add_crashes(message);
  this->requests.add_streams(message);
  const bool nothing_else = !message.tells_of_crashes() &&
                            !message.tells_of_streams() &&
                            message.rate_limits.empty() && !needed_tokens &&
                            !needed_quotas && !this->needs_quotas;
  if (same && nothing_else) return;
  this->finder->send(wire::encode(message));
  this->last_report = std::move(report);
}

void entry::tidy() {
  this->requests.tidy();
  this->metrics.set_response_bytes(static_cast<double>(this->responses.held()));
  this->tidy_timer.expires_after(tidy_interval);
  this->tidy_timer.async_wait([this](std::error_code cancelled) {
    if (!cancelled) this->tidy();
  });
}

std::vector<std::shared_ptr<caller_session>> entry::open_sessions() const {
  std::vector<std::shared_ptr<caller_session>> open;
  for (const auto& [session, weak] : this->sessions) {
    if (auto held = weak.lock()) open.push_back(std::move(held));
  }
  return open;
}

void entry::close_idle() {
  for (const auto& each : this->open_sessions()) each->close_when_idle();
}

bool entry::awaits_requests() const {
  const auto open = this->open_sessions();
  return std::any_of(open.begin(), open.end(), [](const auto& session) {
    return session->awaits_request();
  });
}

void entry::say_goodbye() {
  constexpr milliseconds flush{100};
  // A loop that is behind gets what the last bytes leave of the margin.
  const auto end = time_point::clock::now() + stop_margin - 2 * flush;
  this->quiet = false;
  this->loop.post([this] { this->end_requests(); });
  // The last requests are rejected as they come.
  while (!this->quiet && time_point::clock::now() < end) {
    std::this_thread::sleep_for(goodbye_poll);
    this->loop.post([this] { this->quiet = !this->awaits_requests(); });
  }
  std::this_thread::sleep_for(flush);
}

void entry::end_requests() {
  this->log_undelivered();
  this->requests.end_stop();
  for (const auto& each : this->open_sessions()) each->stop_reading_request();
  // Closing the listener resets the connections in its queue.
  const auto now = time_point::clock::now();
  for (int each = 0; each < kernel::longest_listen_queue; ++each) {
    if (!this->take_connection(now)) break;
  }
  std::error_code ignored;
  this->acceptor.close(ignored);
  this->close_idle();
}

void entry::log_undelivered() const {
  const auto now = time_point::clock::now();
  for (const auto& [session, weak] : this->sessions) {
    const auto found = weak.lock();
    if (!found || found->held_response().bytes == 0) continue;
    const auto held = found->held_response();
    kernel::log_event(kernel::event::response_undelivered,
                      {{"request", found->answered_attempt()},
                       {"held_bytes", held.bytes},
                       {"untaken_ms", ms_between(held.last_taken, now)}});
  }
}

void entry::drain() {
  const auto begin = time_point::clock::now();
  const auto end = begin + this->settings.stop_within - stop_margin;
  this->stopping = true;
  this->loop.post([this, end] { this->requests.begin_stop(end); });
  std::this_thread::sleep_until(
      std::min(begin + decide::shutdown_gate::balancer_removal_time, end));
  this->close_connections = true;
  while (!this->shut && time_point::clock::now() < end) {
    this->loop.post([this] {
      this->close_idle();
      const bool delivered = this->responses.held() == 0;
      this->shut = delivered && !this->awaits_requests() &&
                   this->requests.shut_if_idle();
    });
    std::this_thread::sleep_for(drain_poll);
  }
  this->say_goodbye();
}

void entry::stop() {
  this->readiness.stop();
  this->scrape.stop();
  this->store->stop();
  this->planner.stop();
  this->loop.stop();
}

}  // namespace boragehill::serve
