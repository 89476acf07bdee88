// What an exchange does with the response of the server that has it.

#include <algorithm>
#include <utility>

#include "fleet/request_codec.hpp"
#include "http/head_text.hpp"
#include "serve/caller_session.hpp"
#include "serve/exchange.hpp"
#include "serve/exchange_host.hpp"
#include "serve/server_connection.hpp"

namespace boragehill::serve {

namespace {

constexpr int ok_status = 200;
constexpr int first_failure_status = 300;
constexpr int first_server_failure = 500;

/// Answers up to this length are passed on in one piece once they are whole, so
/// that a broken one can still be answered otherwise. Longer ones and streams
/// are passed on as they come.
constexpr std::uint64_t small_answer = 16384;
/// An event is held back until it is complete. A stream with a longer one is
/// broken off, so that a server can't fill this process's memory.
constexpr std::size_t longest_event = 1U << 20U;
/// After a shorter rest a server would only turn the same request away again.
constexpr milliseconds rest_to_wait_for{100};

bool is_success(const http::message_head& head) {
  return head.status >= ok_status && head.status < first_failure_status;
}

/// A success of a stream route is an event stream unless it names another type.
bool holds_events(const http::message_head& head, const fleet::route& route) {
  if (!is_success(head)) return false;
  const bool untyped = !head.headers.find("Content-Type");
  return http::is_event_stream(head.headers) ||
         (untyped && route.rule == fleet::repeat_rule::stream);
}

}  // namespace

bool exchange::is_answered_by(const fleet::answer_fields& answer) const {
  // Nothing tells an unnamed one from a late answer to an earlier request.
  if (answer.attempt.empty()) return this->connection_requests() == 1;
  return answer.attempt == this->asked.attempt;
}

bool exchange::on_head(const http::message_head& head) {
  const auto answer = this->host.codec().read_answer(head.status, head.headers);
  this->host.on_answer_head(*this, answer);
  if (!this->is_answered_by(answer)) {
    if (!answer.attempt.empty()) return false;
    // Ours may be the next one, or this one.
    this->connection->abort();
    this->on_broken();
    return true;
  }
  this->answer_began();
  if (answer.not_run) {
    this->not_run_answer = true;
    this->skipped_bytes = 0;
    this->misdirected = answer.misdirected;
    this->asked_rest = answer.rest && *answer.rest >= rest_to_wait_for;
    this->replaced = !answer.server.empty() &&
                     !this->host.codec().is_server(answer.server, this->at);
    return true;
  }
  if (answer.promises_no_run && !this->record.may_run_again()) {
    this->give_up("its server failed it with a status that promises no run");
    return true;
  }
  const bool success = is_success(head);
  this->unframed = head.unframed;
  if (success && !answer.stamped) {
    this->connection->abort();
    this->on_broken();
    return true;
  }
  if (this->head_passed) {
    // A stream that goes on keeps the head of its first server.
    if (success) return true;
    this->connection->abort();
    this->on_broken();
    return true;
  }
  this->is_event_stream = holds_events(head, *this->way);
  const bool small = !this->is_event_stream && head.content_length &&
                     *head.content_length <= small_answer;
  if (small) {
    this->small_head = head;
  } else {
    this->pass_head(head);
  }
  return true;
}

void exchange::pass_head(const http::message_head& head) {
  const auto caller = this->session.lock();
  if (!caller) return;
  http::header_list headers;
  for (const auto& each : head.headers.all()) {
    const bool dropped = http::is_hop_by_hop(each.name) ||
                         http::same_name(each.name, "Content-Length") ||
                         head.headers.has_token("Connection", each.name);
    if (!dropped) headers.add(each.name, each.value);
  }
  this->head_passed = true;
  if (this->can_go_on()) {
    this->binding = decide::only_version{this->software};
  }
  if (!this->first_byte) this->first_byte = time_point::clock::now();
  this->ended.status = head.status;
  // A resumable stream may end otherwise than its first server said.
  const bool known_length = head.content_length && !this->way->resumable;
  caller->begin_answer(head.status, std::move(headers),
                       known_length ? head.content_length : std::nullopt);
}

void exchange::on_body(const std::string& bytes) {
  if (this->done) return;
  if (this->not_run_answer) return this->skip_body(bytes.size());
  this->note_piece();
  if (this->small_head) {
    this->small_body += bytes;
    return;
  }
  if (!this->is_event_stream) return this->pass(bytes);
  this->pass(this->events.feed(bytes));
  const bool fits = this->events.incomplete().size() <= longest_event;
  if (fits && !this->events.repeats()) return;
  this->connection->abort();
  this->on_broken();
}

void exchange::skip_body(std::size_t bytes) {
  this->skipped_bytes += bytes;
  if (this->skipped_bytes <= small_answer) return;
  // The head has said all; the rest may never end.
  this->connection->abort();
  this->on_end();
}

decide::response_end exchange::response_end() const {
  return {.unframed = this->unframed,
          .is_event_stream = this->is_event_stream,
          .events = this->events.event_count(),
          .inside_event = this->events.inside_event()};
}

void exchange::answer_began() {
  if (!this->unread) return;
  this->unread = false;
  this->host.on_answering(*this);
}

void exchange::note_piece() {
  this->host.on_heard(*this);
  const auto now = time_point::clock::now();
  if (this->last_piece != time_point()) {
    this->widest_gap = std::max(
        this->widest_gap,
        std::chrono::duration_cast<milliseconds>(now - this->last_piece));
  }
  this->last_piece = now;
}

void exchange::pass(const std::string& bytes) {
  const auto caller = this->session.lock();
  if (!caller || bytes.empty()) return;
  caller->send_body(bytes);
  if (!caller->congested() || !this->connection || this->held_up) return;
  this->connection->pause();
  this->held_up = true;
  this->was_held_up = true;
  this->host.on_held_up(*this);
}

void exchange::on_caller_ready() {
  if (this->connection) this->connection->resume();
  this->go_on_reading();
}

void exchange::go_on_reading() {
  if (!this->held_up) return;
  this->held_up = false;
  this->host.on_resumed(*this);
}

void exchange::on_end() {
  this->connection.reset();
  if (this->done) return;
  if (this->not_run_answer) {
    // A server that rests may get it again afterwards.
    this->record.on_not_run(this->misdirected || this->asked_rest);
    this->host.on_not_run(*this);
    if (this->replaced) {
      this->host.on_server_replaced(*this);
    } else if (this->misdirected) {
      this->host.on_model_missing(*this);
    }
    this->leave_server();
    return this->again("server did not run it");
  }
  if (this->repeat_failure()) return;
  switch (decide::judge_end(this->response_end())) {
    case decide::response_verdict::broken:
      return this->on_broken();
    case decide::response_verdict::unconfirmed:
      this->unconfirmed = true;
      return this->host.confirm_end(this->shared_from_this());
    case decide::response_verdict::complete:
      break;
  }
  this->complete();
}

void exchange::on_end_judged(bool is_complete) {
  if (!std::exchange(this->unconfirmed, false) || this->done) return;
  is_complete ? this->complete() : this->on_broken();
}

void exchange::complete() {
  this->leave_server();
  if (this->small_head) return this->pass_small_answer();
  if (this->is_event_stream) this->pass(this->events.incomplete());
  this->end_answer();
}

bool exchange::repeat_failure() {
  if (!this->small_head || this->small_head->status < first_server_failure) {
    return false;
  }
  const bool in_time = time_point::clock::now() < this->limit;
  if (!in_time || !this->record.may_retry_failure()) return false;
  if (!this->host.take_repeat(*this)) return false;
  this->kept_head = std::exchange(this->small_head, std::nullopt);
  this->kept_body = std::exchange(this->small_body, {});
  this->record.on_possible_run();
  this->leave_server();
  this->retry();
  return true;
}

bool exchange::pass_kept_failure() {
  if (!this->kept_head || this->head_passed || this->done) return false;
  this->small_head = std::exchange(this->kept_head, std::nullopt);
  this->small_body = std::exchange(this->kept_body, {});
  this->pass_small_answer();
  return true;
}

void exchange::pass_small_answer() {
  const auto head = std::exchange(this->small_head, std::nullopt);
  this->pass_head(*head);
  this->pass(this->small_body);
  this->end_answer();
}

void exchange::end_answer() {
  const auto caller = this->session.lock();
  this->finish(
      {.code = result_code::ok,
       .status = this->ended.status,
       .reason = this->resumed ? "answered after a break" : "answered"});
  if (caller) caller->end_answer();
}

void exchange::on_broken() {
  this->connection.reset();
  if (this->done) return;
  this->small_head.reset();
  this->small_body.clear();
  this->record.on_possible_run();
  this->host.on_server_failed(*this, true);
  this->leave_server();
  this->again("answer broke off");
}

}  // namespace boragehill::serve
