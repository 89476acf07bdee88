#include "agent/agent.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "agent/agent_metrics.hpp"
#include "agent/attempt_runner.hpp"
#include "agent/brain.hpp"
#include "agent/brain_link.hpp"
#include "agent/control_methods.hpp"
#include "agent/data_server.hpp"
#include "agent/engine_task.hpp"
#include "agent/hang_up_watch.hpp"
#include "agent/kept_answers.hpp"
#include "agent/platform_work.hpp"
#include "agent/report_work.hpp"
#include "kernel/duty.hpp"
#include "kernel/event_log.hpp"
#include "kernel/file_span_recorder.hpp"
#include "kernel/null_span_recorder.hpp"
#include "kernel/tracer.hpp"
#include "wire/rpc_server.hpp"

namespace boragehill::agent {

namespace {

constexpr std::size_t brain_ring = 4096;
constexpr std::size_t engine_ring = 8;
constexpr std::size_t platform_ring = 64;
constexpr milliseconds brain_tick{50};
constexpr milliseconds platform_tick{20};
constexpr milliseconds report_tick{20};
constexpr milliseconds watch_tick{200};
constexpr milliseconds drain_look{20};

/// Asks the platform duty to read the grants.
struct grants_wanted {};

/// The report and watch duties work by their tick alone.
struct no_message {};

std::unique_ptr<kernel::span_recorder> make_recorder(const std::string& file) {
  if (file.empty()) return std::make_unique<kernel::null_span_recorder>();
  return std::make_unique<kernel::file_span_recorder>(file);
}

endpoint advertised(const endpoint& wanted, const endpoint& listen,
                    const endpoint& bound) {
  return wanted == listen || wanted.port == 0 ? bound : wanted;
}

}  // namespace

class agent::impl {
 public:
  impl(agent_settings given, agent_parts with)
      : settings(std::move(given)),
        parts(std::move(with)),
        tracer(make_recorder(this->settings.trace_file)),
        answers(this->settings.kept_answer_bytes),
        link([this](brain_message m) { return this->think.post(std::move(m)); },
             [this] { return this->stopped.load(); }),
        mind(this->settings, this->make_outlets(), this->metrics,
             time_point::clock::now()),
        platform(own_row(*this->parts.table, this->own_record()),
                 *this->parts.backend, this->link),
        reports(this->settings, *this->parts.vms, this->link,
                [this] { this->begin_drain(); }),
        runner({*this->parts.backend, this->link, this->answers, this->watch,
                this->tracer},
               this->settings.kept_answer_bytes),
        data(this->settings.data, this->runner, this->answers,
             [this] { return this->metrics.text(); }),
        control(wire::rpc_server_settings{.listen = this->settings.control}),
        think(
            "agent-brain", brain_ring, brain_tick,
            [this](brain_message& m) {
              this->mind.handle(m, time_point::clock::now());
            },
            [this] { this->mind.tick(time_point::clock::now()); }),
        engine(
            "agent-engine", engine_ring, brain_tick,
            [this](engine_task& task) {
              carry_out(task, *this->parts.backend, this->link);
            },
            nullptr),
        table(
            "agent-platform", platform_ring, platform_tick,
            [this](grants_wanted&) { this->platform.want_grants(); },
            [this] { this->platform.tick(); }),
        tell(
            "agent-report", 1, report_tick, [](no_message&) {},
            [this] { this->reports.tick(); }),
        look(
            "agent-watch", 1, watch_tick, [](no_message&) {},
            [this] { this->watch.tick(); }) {
    add_control_methods(this->control, this->link, *this->parts.backend,
                        [this] { this->begin_drain(); });
  }

  result<void> start() {
    if (auto listening = this->control.start(); !listening) {
      return listening.error();
    }
    if (auto listening = this->data.start(); !listening) {
      this->control.stop();
      return listening.error();
    }
    this->reports.set_endpoints(
        advertised(this->settings.advertised_control, this->settings.control,
                   this->control.bound()),
        advertised(this->settings.advertised_data, this->settings.data,
                   this->data.bound()));
    this->think.start();
    this->engine.start();
    this->table.start();
    this->tell.start();
    this->look.start();
    return success();
  }

  void begin_drain() {
    if (this->draining.exchange(true)) return;
    this->link.tell_surely(drain_asked{});
  }

  void drain() {
    this->begin_drain();
    const time_point end = time_point::clock::now() + this->settings.drain;
    while (this->running() > 0 && time_point::clock::now() < end) {
      std::this_thread::sleep_for(drain_look);
    }
    kernel::log_event(kernel::event::drain_ended,
                      {{"running", this->running()}});
  }

  bool finished() const {
    if (this->superseded) return this->running() == 0;
    return this->draining && this->running() == 0;
  }

  void stop() {
    if (this->stopping.exchange(true)) return;
    // New connections end first, then whoever waits for the brain, then the
    // brain; a duty that tells it something never waits for one that is gone.
    this->begin_drain();
    this->look.stop();
    this->control.stop();
    this->runner.cut_off();
    this->data.stop();
    this->tell.stop();
    this->table.stop();
    this->engine.stop();
    this->stopped = true;
    this->think.stop();
    this->tracer.stop();
  }

  endpoint control_bound() const { return this->control.bound(); }
  endpoint data_bound() const { return this->data.bound(); }

 private:
  server_record own_record() const {
    return {.id = this->settings.id,
            .failure_domain = this->settings.failure_domain,
            .pool = this->settings.pool};
  }

  brain_outlets make_outlets() {
    return {.order =
                [this](const decide::send_order& order) {
                  this->engine.post(order);
                },
            .read_state =
                [this] { this->engine.post(decide::read_engine_state{}); },
            .read_grants = [this] { this->table.post(grants_wanted{}); },
            .report = [this] { this->reports.hurry(); },
            .overtaken = [this] { this->superseded = true; }};
  }

  std::uint32_t running() const {
    const auto view = this->link.ask<brain_view>(
        [](auto reply) { return view_asked{std::move(reply)}; });
    return view ? view->running : 0;
  }

  agent_settings settings;
  agent_parts parts;
  kernel::tracer tracer;
  agent_metrics metrics;
  kept_answers answers;
  hang_up_watch watch;
  std::atomic<bool> stopping{false};
  std::atomic<bool> stopped{false};
  std::atomic<bool> draining{false};
  std::atomic<bool> superseded{false};
  brain_link link;
  brain mind;
  platform_work platform;
  report_work reports;
  attempt_runner runner;
  data_server data;
  wire::rpc_server control;
  kernel::duty<brain_message> think;
  kernel::duty<engine_task> engine;
  kernel::duty<grants_wanted> table;
  kernel::duty<no_message> tell;
  kernel::duty<no_message> look;
};

agent::agent(agent_settings settings)
    : agent(std::move(settings), agent_parts{}) {}

agent::agent(agent_settings settings, agent_parts parts)
    : settings(std::move(settings)), parts(std::move(parts)) {}

agent::~agent() {
  this->stop();
}

result<void> agent::start() {
  if (!this->parts.backend) {
    auto made = make_parts(this->settings);
    if (!made) return made.error();
    this->parts = std::move(made).value();
  }
  this->inner = std::make_unique<impl>(this->settings, std::move(this->parts));
  return this->inner->start();
}

void agent::drain() {
  if (this->inner) this->inner->drain();
}

bool agent::finished() const {
  return this->inner && this->inner->finished();
}

void agent::stop() {
  if (this->inner) this->inner->stop();
}

endpoint agent::control() const {
  return this->inner->control_bound();
}

endpoint agent::data() const {
  return this->inner->data_bound();
}

}  // namespace boragehill::agent
