#include "agent/platform_work.hpp"

#include <utility>

#include <boragehill/backend.hpp>
#include <boragehill/engine_state.hpp>
#include <boragehill/result_code.hpp>

#include "agent/brain_link.hpp"
#include "decide/backoff.hpp"
#include "kernel/event_log.hpp"
#include "kernel/random.hpp"

namespace boragehill::agent {

namespace {

using kernel::event;
using kernel::log_event;

constexpr milliseconds first_backoff{100};
constexpr milliseconds longest_backoff{3000};

}  // namespace

platform_work::platform_work(own_row row, backend& engine,
                             const brain_link& brain)
    : row(std::move(row)), engine(&engine), brain(&brain) {}

void platform_work::tick() {
  const time_point now = time_point::clock::now();
  if (now < this->next_try) return;
  if (this->fence_wanted) {
    this->note(this->take_fence(), time_point::clock::now());
  } else if (this->grants_wanted) {
    this->note(this->read_grants(), time_point::clock::now());
  }
}

result<void> platform_work::take_fence() {
  const auto state = this->engine->state();
  const std::uint64_t capacity = state ? state.value().capacity_bytes : 0;
  const auto fence = this->row.take_fence(capacity);
  if (!fence) return fence.error();
  this->fence_wanted = false;
  this->brain->tell_surely(fence_taken{fence.value()});
  return success();
}

result<void> platform_work::read_grants() {
  const time_point began = time_point::clock::now();
  auto record = this->row.read();
  if (!record) return record.error();
  this->grants_wanted = false;
  this->brain->tell_surely(grants_read{std::move(record).value(), began});
  return success();
}

void platform_work::note(const result<void>& outcome, time_point now) {
  if (outcome) {
    if (this->outage) log_event(event::platform_outage_ended, {});
    this->outage = false;
    this->failures = 0;
    return;
  }
  if (outcome.error() == result_code::platform_conflict) {
    // Another writer was faster; the next try reads what it wrote.
    log_event(event::write_conflict, {{"row", "server"}});
    return;
  }
  if (outcome.error() == result_code::platform_answer_lost) {
    log_event(event::write_answer_lost, {{"row", "server"}});
  } else if (!this->outage) {
    log_event(event::platform_outage_began, {{"code", outcome.error()}});
  }
  this->outage = true;
  this->next_try =
      now + decide::backoff(this->failures, first_backoff, longest_backoff,
                            kernel::random_bits());
  ++this->failures;
}

}  // namespace boragehill::agent
