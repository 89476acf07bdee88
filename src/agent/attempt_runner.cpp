#include "agent/attempt_runner.hpp"

#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <boragehill/backend.hpp>
#include <boragehill/result_code.hpp>

#include "agent/brain_link.hpp"
#include "agent/frame_sink.hpp"
#include "agent/hang_up_watch.hpp"
#include "agent/kept_answers.hpp"
#include "kernel/event_log.hpp"
#include "kernel/span.hpp"
#include "kernel/trace_context.hpp"

namespace boragehill::agent {

namespace {

using kernel::event;
using kernel::log_event;

constexpr milliseconds between_cancels{20};

/// Returns whether a failed run may have run: only a refused connection and a
/// request that was never sent are certain.
ran_state ran_after(const std::error_code& error) {
  const bool never = error == result_code::engine_down ||
                     error == result_code::attempt_seen ||
                     error == result_code::malformed_request;
  return never ? ran_state::no : ran_state::unknown;
}

wire::frame_failure failure_of(const std::error_code& error) {
  return {.code = code_of(error),
          .ran = ran_after(error),
          .message = error.message()};
}

}  // namespace

wire::frame_failure refusal_frame(const decide::admission_decision& verdict) {
  return {.code = verdict.code,
          .ran = verdict.ran,
          .message = std::string(name_of(verdict.code))};
}

attempt_runner::attempt_runner(parts with, std::size_t keep_bytes)
    : with(with), keep_bytes(keep_bytes) {}

decide::admission_decision attempt_runner::offer(
    const attempt_request& attempt) const {
  kernel::span hop(this->with.tracer, "agent.admit",
                   kernel::trace_context::parse(attempt.request.traceparent));
  const auto verdict =
      this->with.brain.ask<decide::admission_decision>([&](auto reply) {
        return attempt_offered{attempt.offer, attempt.target, std::move(reply)};
      });
  const decide::admission_decision known =
      verdict.value_or(decide::admission_decision{result_code::server_busy});
  hop.tag("code", name_of(known.code));
  if (known.code != result_code::ok) {
    log_event(event::attempt_refused, {{"attempt", attempt.request.attempt},
                                       {"code", name_of(known.code)}});
  }
  return known;
}

void attempt_runner::run(const attempt_request& attempt,
                         std::function<bool(std::string_view)> write,
                         std::function<bool()> connected) {
  kernel::span hop(this->with.tracer, "agent.run",
                   kernel::trace_context::parse(attempt.request.traceparent));
  backend_request request = attempt.request;
  request.traceparent = hop.context().to_string();
  const std::size_t keep = attempt.non_idempotent ? this->keep_bytes : 0;
  frame_sink sink(std::move(write), keep, attempt.non_idempotent);
  if (!this->enter(request.attempt)) {
    this->abandon(attempt);
    sink.fail(refusal_frame({.code = result_code::draining}));
    return;
  }
  std::shared_ptr<hang_up_watch::entry> watched;
  if (!attempt.non_idempotent) {
    watched = this->with.watch.watch(
        std::move(connected),
        [this, id = request.attempt] { this->with.engine.cancel(id); });
  }
  const auto outcome = this->with.engine.run(request, sink);
  if (watched) watched->end();
  this->leave(request.attempt);
  const bool whole = outcome.has_value();
  const bool crashed =
      !whole && (outcome.error() == result_code::engine_down ||
                 outcome.error() == result_code::engine_crashed);
  // An answer is kept before the brain says that its attempt ended: a router
  // that heard so asks for the answer at once.
  if (whole) sink.end();
  if (whole && !sink.copy().empty()) {
    this->with.answers.keep(attempt.offer.id, sink.copy());
  }
  this->with.brain.tell_surely(
      attempt_finished{attempt.offer.id, attempt.target, whole, crashed});
  if (!whole) {
    sink.fail(failure_of(outcome.error()));
    log_event(event::answer_broken,
              {{"attempt", request.attempt}, {"code", outcome.error()}});
  }
  hop.tag("whole", whole ? "yes" : "no");
}

void attempt_runner::cut_off() {
  std::unique_lock lock(this->mutex);
  this->closed = true;
  // An attempt that is noted here but has not reached the backend yet would
  // miss a single cancel, so it is repeated until all have left.
  while (!this->running.empty()) {
    const std::set<std::string> ids = this->running;
    lock.unlock();
    for (const auto& id : ids) this->with.engine.cancel(id);
    std::this_thread::sleep_for(between_cancels);
    lock.lock();
  }
}

bool attempt_runner::enter(const std::string& attempt) {
  const std::lock_guard lock(this->mutex);
  if (!this->closed) this->running.insert(attempt);
  return !this->closed;
}

void attempt_runner::leave(const std::string& attempt) {
  const std::lock_guard lock(this->mutex);
  this->running.erase(attempt);
}

void attempt_runner::abandon(const attempt_request& attempt) const {
  log_event(event::caller_hung_up, {{"attempt", attempt.request.attempt}});
  this->with.brain.tell_surely(
      attempt_finished{attempt.offer.id, attempt.target, false, false});
}

}  // namespace boragehill::agent
