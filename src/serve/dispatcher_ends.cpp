// What the dispatcher does about responses without a frame, whose end doesn't
// tell whether their server was lost.

#include <asio/steady_timer.hpp>
#include <iterator>
#include <memory>
#include <utility>

#include "decide/port_closing_time.hpp"
#include "fleet/request_codec.hpp"
#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

/// The port of a process that was killed resets what it takes until it closes;
/// this is longer.
constexpr milliseconds probe_limit =
    decide::max_port_closing_time + milliseconds(100);
/// Between two probes of a port that may be closing.
constexpr milliseconds probe_pause{50};

const char* name_of(decide::probe_outcome outcome) {
  switch (outcome) {
    case decide::probe_outcome::alive:
      return "alive";
    case decide::probe_outcome::gone:
      return "gone";
    case decide::probe_outcome::reset:
      return "reset";
    case decide::probe_outcome::silent:
      break;
  }
  return "silent";
}

}  // namespace

void dispatcher::confirm_end(const std::shared_ptr<exchange>& request) {
  const std::string server = request->server();
  auto& probe = this->end_probes[server];
  if (probe.probed.empty() && probe.next.empty()) {
    probe.since = time_point::clock::now();
  }
  probe.next.push_back(request);
  // A probe that was sent before a response ended says nothing of its end.
  if (!probe.is_under_way) this->probe_ends(server);
}

void dispatcher::probe_ends(const std::string& server) {
  auto& probe = this->end_probes[server];
  std::move(probe.next.begin(), probe.next.end(),
            std::back_inserter(probe.probed));
  probe.next.clear();
  probe.is_under_way = true;
  const auto found = this->servers.find(server);
  const auto* service =
      found == this->servers.end()
          ? nullptr
          : this->known_catalog->find_service(found->second.entry.service);
  // A report tells when its server started, and needs no slot.
  const auto target = !service              ? std::string()
                      : service->has_engine ? this->headers.report_target()
                                            : service->health_path;
  // A server that asked for rest is left alone.
  const bool rests =
      this->resting.until(server, time_point::clock::now()).has_value();
  if (target.empty() || rests) {
    return this->on_ends_probed(server, decide::probe_outcome::alive);
  }
  this->call_server(found->second.entry.address, target, probe_limit,
                    [this, server](const result<http::whole_answer>& answer,
                                   http::call_failure failure) {
                      this->on_ends_probed(
                          server, this->outcome_of(server, answer, failure));
                    });
}

decide::probe_outcome dispatcher::outcome_of(
    const std::string& server, const result<http::whole_answer>& answer,
    http::call_failure failure) {
  const auto found = this->servers.find(server);
  if (answer) {
    const bool same = found == this->servers.end() ||
                      this->is_answer_of(found->second, answer.value());
    return same ? decide::probe_outcome::alive : decide::probe_outcome::gone;
  }
  switch (failure) {
    case http::call_failure::refused:
      return decide::probe_outcome::gone;
    case http::call_failure::cut_off:
    case http::call_failure::unconnected:
      return decide::probe_outcome::reset;
    default:
      return decide::probe_outcome::silent;
  }
}

bool dispatcher::is_answer_of(server_state& server,
                              const http::whole_answer& answer) {
  if (!this->check_lifetime(server, answer.head)) return false;
  // A status check holds no report.
  const auto report = this->headers.read_report(answer.body);
  if (!report || server.entry.may_have_sent(report.value())) return true;
  this->mark_replaced(server, "report");
  return false;
}

void dispatcher::on_ends_probed(const std::string& server,
                                decide::probe_outcome outcome) {
  auto& probe = this->end_probes[server];
  const milliseconds waited(ms_between(probe.since, time_point::clock::now()));
  const auto step = decide::judge_probe(outcome, waited);
  if (step == decide::confirmation_step::probe_again) {
    return this->probe_ends_later(server);
  }
  const bool is_complete = step == decide::confirmation_step::complete;
  // What becomes of one request may end others there.
  for (const auto& each : std::exchange(probe.probed, {})) {
    kernel::log_event(kernel::event::end_judged,
                      {{"request", each->fields().attempt},
                       {"server", server},
                       {"probe", name_of(outcome)},
                       {"complete", is_complete},
                       {"waited_ms", waited.count()}});
    each->on_end_judged(is_complete);
  }
  if (this->end_probes[server].next.empty()) {
    this->end_probes.erase(server);
    return;
  }
  this->end_probes[server].since = time_point::clock::now();
  this->probe_ends(server);
}

void dispatcher::probe_ends_later(const std::string& server) {
  auto timer = std::make_shared<asio::steady_timer>(this->context);
  timer->expires_after(probe_pause);
  timer->async_wait([this, timer, server](std::error_code cancelled) {
    if (!cancelled) this->probe_ends(server);
  });
}

}  // namespace boragehill::serve
