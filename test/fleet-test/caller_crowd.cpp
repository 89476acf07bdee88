#include "fleet-test/caller_crowd.hpp"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "fleet-test/single_call.hpp"

namespace boragehill::fleet_test {

caller_crowd::tally caller_crowd::send(const std::string& name, int per_second,
                                       std::chrono::milliseconds time) {
  this->counts = {};
  const auto interval =
      std::chrono::nanoseconds(std::chrono::seconds(1)) / per_second;
  const auto end = std::chrono::steady_clock::now() + time;
  asio::steady_timer timer(this->context);
  timer.expires_after(interval);
  std::function<void(std::error_code)> on_time = [&](std::error_code) {
    const auto now = std::chrono::steady_clock::now();
    while (timer.expiry() <= now) {
      this->call(0, name + "-" + std::to_string(this->counts.sent++), now);
      timer.expires_at(timer.expiry() + interval);
    }
    if (now < end) timer.async_wait(on_time);
  };
  timer.async_wait(on_time);
  this->context.restart();
  this->context.run();
  return this->counts;
}

void caller_crowd::call(std::size_t router, const std::string& attempt,
                        time_point began) {
  const std::string text =
      "POST " + this->target +
      " HTTP/1.1\r\nHost: valves.example\r\n"
      "Connection: close\r\nBoragehill-Attempt-Id: " +
      attempt + "-" + std::to_string(router) +
      "\r\nBoragehill-Deadline-Ms: 1000\r\nContent-Length: " +
      std::to_string(this->body.size()) + "\r\n\r\n" + this->body;
  std::make_shared<single_call>(
      this->context, text,
      [this, router, attempt, began](call_outcome outcome) {
        this->on_ended(router, attempt, began, outcome);
      })
      ->start(this->routers[router]);
}

void caller_crowd::on_ended(std::size_t router, const std::string& attempt,
                            time_point began, call_outcome outcome) {
  if (outcome == call_outcome::unread) {
    if (router != 0) return;
    ++this->counts.unread;
    this->counts.unread_attempts.push_back(attempt + "-0");
    return this->call(1 + this->counts.unread % (this->routers.size() - 1),
                      attempt, began);
  }
  ++this->counts.read;
  if (outcome != call_outcome::served) return;
  ++this->counts.served;
  const auto now = std::chrono::steady_clock::now();
  if (now - began <= latency_objective) ++this->counts.in_time;
}

}  // namespace boragehill::fleet_test
