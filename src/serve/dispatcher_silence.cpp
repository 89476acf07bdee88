// What the dispatcher does about servers that fall silent.

#include <asio/post.hpp>
#include <utility>
#include <vector>

#include "decide/stalled_request.hpp"
#include "decide/wait_limit.hpp"
#include "fleet/request_codec.hpp"
#include "http/call_connection.hpp"
#include "http/head_text.hpp"
#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

/// The watch comes round ten times a second; after a longer time the process
/// itself stood still.
constexpr milliseconds own_pause{250};
/// What is sent takes about so long to be read, and a piece to come back.
constexpr milliseconds way_there{20};
/// A server that stands still answers nothing; asked anew after this.
constexpr milliseconds question_limit{400};

}  // namespace

decide::response_progress* dispatcher::pulse_of(const exchange& request) {
  const auto found = this->servers.find(request.server());
  if (found == this->servers.end()) return nullptr;
  return &found->second.silence.responses();
}

void dispatcher::on_answering(const exchange& request) {
  if (auto* pulse = this->pulse_of(request)) {
    pulse->on_response_started(request.fields().prompt_tokens,
                               time_point::clock::now());
  }
  // Late ones wait until a prompt was read.
  if (!this->lines.empty()) this->serve_waiting();
}

void dispatcher::on_heard(const exchange& request) {
  if (auto* pulse = this->pulse_of(request)) {
    pulse->on_data(time_point::clock::now());
  }
}

void dispatcher::on_held_up(const exchange& request) {
  if (auto* pulse = this->pulse_of(request)) pulse->on_read_paused();
}

void dispatcher::on_resumed(const exchange& request) {
  if (auto* pulse = this->pulse_of(request)) {
    pulse->on_read_resumed(time_point::clock::now());
  }
}

bool dispatcher::lies_unread(const exchange& request) const {
  const auto found = this->servers.find(request.server());
  if (found == this->servers.end() || !request.unanswered()) return false;
  const auto& silence = found->second.silence;
  return silence.is_suspected() && request.last_sent() + way_there >=
                                       silence.responses().last_data_time();
}

void dispatcher::excuse_own_pause(time_point now) {
  const auto last = std::exchange(this->silence_watched, now);
  if (now - last < own_pause) return;
  for (auto& [id, state] : this->servers) state.silence.ignore_local_pause(now);
}

void dispatcher::watch_silence() {
  const auto now = time_point::clock::now();
  this->excuse_own_pause(now);
  // A server that is heard or has rested may serve those that wait.
  bool may_serve = this->resting.drop_expired(now);
  // A credit of the retry budget may have been earned.
  may_serve = this->retry_waits() || may_serve;
  for (auto& [id, state] : this->servers) {
    const bool was_doubted = state.silence.is_suspected();
    this->judge_silence(state, now);
    may_serve = may_serve || (was_doubted && !state.silence.is_suspected());
    if (!state.silence.expire_interruption(now)) continue;
    this->log_interruption_ended(state, "time");
    may_serve = true;
  }
  if (may_serve) this->serve_waiting();
  this->judge_silent_waits(now);
  this->judge_crashes(now);
}

void dispatcher::judge_silent_waits(time_point now) {
  // Requests that move or end change the servers' lists of them.
  std::vector<std::shared_ptr<exchange>> held;
  for (const auto& [id, state] : this->servers) {
    if (!state.silence.is_unresponsive()) continue;
    for (const auto& [key, request] : state.requests) held.push_back(request);
  }
  for (const auto& each : held) this->judge_silent_wait(each, now);
}

bool dispatcher::is_movable(const exchange& request, time_point now) {
  if (!request.may_move() || !this->may_start(request, now)) return false;
  auto& budget = this->budget_of(request.service());
  return budget.retries_left(now, this->routers.value(now)) >= 1 &&
         this->find_server(request, now);
}

void dispatcher::judge_silent_wait(const std::shared_ptr<exchange>& request,
                                   time_point now) {
  using step = decide::stalled_request_action;
  const auto found = this->servers.find(request->server());
  if (found == this->servers.end()) return;
  const auto waiting = this->waiting_of(*request, now);
  const decide::stalled_request silent{
      .stalled_for = milliseconds(
          ms_between(found->second.silence.responses().waiting_since(), now)),
      .remaining = decide::caller_timeout(waiting) - waiting.waited,
      .response_started = request->answered() || !request->unanswered(),
      .movable = this->is_movable(*request, now)};
  const auto next = decide::decide_stalled_request(silent);
  if (next == step::wait) return;
  if (next == step::move && !this->take_repeat(*request)) return;
  kernel::log_event(kernel::event::silent_server_left,
                    {{"request", request->fields().attempt},
                     {"server", request->server()},
                     {"step", next == step::move ? "move" : "give_up"},
                     {"silent_ms", silent.stalled_for.count()},
                     {"remaining_ms", silent.remaining.count()},
                     {"begun", silent.response_started}});
  next == step::move ? request->move_from_silent()
                     : request->give_up("server is silent");
}

void dispatcher::judge_silence(server_state& server, time_point now) {
  using news = decide::stall_detector::transition;
  const auto before = server.silence.responses().waiting_since();
  const auto found = server.silence.update(now);
  if (found == news::suspected) {
    kernel::log_event(
        kernel::event::server_silent,
        {{"server", server.entry.id},
         {"silent_ms", ms_between(before, now)},
         {"awaited", server.silence.responses().awaited_responses()}});
  } else if (found == news::recovered) {
    kernel::log_event(kernel::event::server_heard,
                      {{"server", server.entry.id}, {"by", "answer"}});
  }
  if (!server.silence.is_probe_due(now)) return;
  // While ends of responses lie unread, a probe would be outdated at once.
  const bool useful = this->is_awaited(server) && !this->sending_paused;
  if (!server.silence.is_suspected() && !useful) return;
  if (this->resting.claim_probe(server.entry.id, now)) this->ask(server);
}

void dispatcher::on_interrupted(const exchange& request, time_point now) {
  const auto found = this->servers.find(request.server());
  if (found == this->servers.end()) return;
  this->pause_sending();
  if (!found->second.silence.on_interrupted(now)) return;
  kernel::log_event(
      kernel::event::server_interrupted,
      {{"server", request.server()}, {"request", request.fields().attempt}});
}

void dispatcher::pause_sending() {
  if (std::exchange(this->sending_paused, true)) return;
  asio::post(this->context, [this] {
    this->sending_paused = false;
    this->serve_waiting();
  });
}

void dispatcher::log_interruption_ended(const server_state& server,
                                        const char* by) {
  kernel::log_event(kernel::event::interruption_ended,
                    {{"server", server.entry.id}, {"by", by}});
}

void dispatcher::ask(server_state& server) {
  const auto* service =
      this->known_catalog
          ? this->known_catalog->find_service(server.entry.service)
          : nullptr;
  if (!service || service->health_path.empty()) {
    // It can't be asked, so now and then a request shows.
    if (!server.silence.on_probe_impossible(time_point::clock::now())) return;
    kernel::log_event(kernel::event::server_heard,
                      {{"server", server.entry.id}, {"by", "no status check"}});
    return;
  }
  server.silence.on_probe_sent();
  const auto asked = time_point::clock::now();
  this->call_server(
      server.entry.address, service->health_path, question_limit,
      [this, id = server.entry.id, asked](
          const result<http::whole_answer>& answer, http::call_failure) {
        this->on_question_ended(id, answer, asked);
      });
}

void dispatcher::call_server(const endpoint& address, const std::string& target,
                             milliseconds limit, server_call_receiver receive) {
  http::header_list headers;
  headers.add("Host", address.to_string());
  headers.add("Connection", "close");
  const auto call =
      std::make_shared<http::call_connection>(this->context, address);
  call->call(http::request_head("GET", target, headers), limit,
             [call, receive = std::move(receive)](
                 const result<http::whole_answer>& answer) {
               receive(answer, call->failure());
               call->close();
             });
}

bool dispatcher::check_lifetime(server_state& server,
                                const http::message_head& head) {
  const auto told = this->headers.read_answer(head.status, head.headers);
  this->take_notice(server, told, "question");
  if (told.server.empty() ||
      this->headers.is_server(told.server, server.entry.id)) {
    return true;
  }
  this->mark_replaced(server, "question");
  return false;
}

void dispatcher::on_question_ended(const std::string& server,
                                   const result<http::whole_answer>& answer,
                                   time_point asked) {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) return;
  const auto now = time_point::clock::now();
  this->excuse_own_pause(now);
  auto& silence = found->second.silence;
  if (!answer && !silence.is_interrupted() &&
      asked < silence.responses().waiting_since()) {
    // The router stood still meanwhile, or the server was heard otherwise.
    silence.on_probe_discarded();
    return;
  }
  const bool answered =
      answer && this->check_lifetime(found->second, answer.value().head);
  if (!answer) {
    kernel::log_event(kernel::event::server_unanswering,
                      {{"server", server}, {"error", answer.error()}});
  }
  const bool refused =
      !answer && answer.error() == result_code::peer_unreachable;
  const bool heard = silence.on_probe_ended(answered, now);
  if (heard) {
    kernel::log_event(kernel::event::server_heard,
                      {{"server", server}, {"by", "question"}});
  }
  const bool released = refused && silence.on_connection_refused();
  if (released) {
    this->reachability.on_failure(server, now);
    this->log_interruption_ended(found->second, "refused");
  }
  if (heard || released) return this->serve_waiting();
  // An outdated probe is repeated at once.
  this->judge_silence(found->second, now);
}

}  // namespace boragehill::serve
