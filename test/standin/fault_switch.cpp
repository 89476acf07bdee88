#include "standin/fault_switch.hpp"

#include <thread>

namespace boragehill::standin {

namespace {

bool take(std::uint32_t& count) {
  if (count == 0) return false;
  --count;
  return true;
}

}  // namespace

bool fault_switch::set(const Json::Value& fault) {
  const std::scoped_lock lock(this->mutex);
  const bool known = this->set_kind(fault.get("kind", "").asString(), fault);
  this->thawed.notify_all();
  return known;
}

bool fault_switch::set_kind(const std::string& kind, const Json::Value& fault) {
  if (kind == "none") {
    this->clear();
  } else if (kind == "down") {
    this->down = true;
  } else if (kind == "refuse_writes") {
    this->read_only = true;
  } else if (kind == "freeze") {
    this->frozen = true;
  } else if (kind == "silent") {
    this->silent = true;
    ++this->silence_count;
  } else if (kind == "slow") {
    this->slow = std::chrono::milliseconds(fault.get("ms", 0).asInt64());
  } else if (kind == "say_leaving") {
    this->say_leaving = true;
  } else if (kind == "limited") {
    this->limit_text = fault["per_s"].asString();
  } else if (kind == "shed") {
    this->shed = std::chrono::milliseconds(fault.get("ms", 0).asInt64());
  } else if (kind == "slow_loads") {
    this->slow_loads = std::chrono::milliseconds(fault.get("ms", 0).asInt64());
  } else if (kind == "slow_events") {
    this->slow_events = std::chrono::milliseconds(fault.get("ms", 0).asInt64());
  } else if (kind == "lose_answers") {
    this->lost_answers = fault.get("count", 1).asUInt();
  } else if (kind == "lose_checks") {
    this->lost_checks = true;
  } else if (kind == "fail_runs") {
    this->failed_runs = fault.get("count", 1).asUInt();
  } else if (kind == "cut_stream") {
    this->cut_streams = fault.get("count", 1).asUInt();
  } else if (kind == "unframed") {
    this->unframed = true;
  } else if (kind == "empty_streams") {
    this->empty_streams = true;
  } else if (kind == "crash_on_part") {
    this->crashing_part = fault.get("part", "").asString();
  } else if (kind == "crash_on") {
    this->marker = fault.get("marker", "").asString();
  } else {
    return false;
  }
  return true;
}

void fault_switch::clear() {
  this->down = false;
  this->read_only = false;
  this->frozen = false;
  this->silent = false;
  this->say_leaving = false;
  this->shed.reset();
  this->limit_text.clear();
  this->slow = std::chrono::milliseconds{0};
  this->slow_loads = std::chrono::milliseconds{0};
  this->slow_events = std::chrono::milliseconds{0};
  this->lost_answers = 0;
  this->lost_checks = false;
  this->failed_runs = 0;
  this->cut_streams = 0;
  this->unframed = false;
  this->empty_streams = false;
  this->marker = this->usual_marker;
  this->crashing_part.clear();
}

void fault_switch::wait_while_frozen() {
  std::unique_lock lock(this->mutex);
  this->thawed.wait(lock, [this] { return !this->frozen; });
}

void fault_switch::delay() {
  std::unique_lock lock(this->mutex);
  const auto pause = this->slow;
  lock.unlock();
  std::this_thread::sleep_for(pause);
}

std::string fault_switch::limit() {
  const std::scoped_lock lock(this->mutex);
  return this->limit_text;
}

std::optional<std::chrono::milliseconds> fault_switch::shed_rest() {
  const std::scoped_lock lock(this->mutex);
  return this->shed;
}

std::chrono::milliseconds fault_switch::load_delay() {
  const std::scoped_lock lock(this->mutex);
  return this->slow_loads;
}

std::chrono::milliseconds fault_switch::event_delay() {
  const std::scoped_lock lock(this->mutex);
  return this->slow_events;
}

bool fault_switch::crashes_on_body(const std::string& body) {
  const std::scoped_lock lock(this->mutex);
  return !this->marker.empty() && body.find(this->marker) != std::string::npos;
}

bool fault_switch::crashes_on(const std::string& prompt_parts) {
  const std::scoped_lock lock(this->mutex);
  return !this->crashing_part.empty() &&
         prompt_parts.find(this->crashing_part) != std::string::npos;
}

bool fault_switch::is_down() {
  const std::scoped_lock lock(this->mutex);
  return this->down;
}

bool fault_switch::says_leaving() {
  const std::scoped_lock lock(this->mutex);
  return this->say_leaving;
}

std::uint64_t fault_switch::silences() {
  const std::scoped_lock lock(this->mutex);
  return this->silence_count;
}

bool fault_switch::is_silent() {
  const std::scoped_lock lock(this->mutex);
  return this->silent;
}

bool fault_switch::refuses_writes() {
  const std::scoped_lock lock(this->mutex);
  return this->read_only;
}

bool fault_switch::take_lost_answer() {
  const std::scoped_lock lock(this->mutex);
  return take(this->lost_answers);
}

bool fault_switch::loses_checks() {
  const std::scoped_lock lock(this->mutex);
  return this->lost_checks;
}

bool fault_switch::take_failed_run() {
  const std::scoped_lock lock(this->mutex);
  return take(this->failed_runs);
}

bool fault_switch::unframes() {
  const std::scoped_lock lock(this->mutex);
  return this->unframed;
}

bool fault_switch::empties_streams() {
  const std::scoped_lock lock(this->mutex);
  return this->empty_streams;
}

bool fault_switch::take_cut_stream() {
  const std::scoped_lock lock(this->mutex);
  return take(this->cut_streams);
}

}  // namespace boragehill::standin
