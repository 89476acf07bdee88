#include "decide/windowed_retry_budget.hpp"

#include <algorithm>

namespace boragehill::decide {

void windowed_retry_budget::on_request(time_point now) {
  this->drop_expired(now);
  this->requests.push_back(now);
  this->request_credits += this->credit_per_request();
}

bool windowed_retry_budget::grant_retry(time_point now,
                                        std::optional<int> routers) {
  if (this->retries_left(now, routers) < 1) return false;
  ++this->granted;
  return true;
}

bool windowed_retry_budget::may_send_retry(time_point now,
                                           std::optional<int> routers) {
  return this->credits(now, routers) >= 1;
}

void windowed_retry_budget::on_retry_sent() {
  const double of_requests = std::min(this->request_credits, 1.0);
  this->request_credits -= of_requests;
  this->time_credits -= 1 - of_requests;
  --this->granted;
}

double windowed_retry_budget::retries_left(time_point now,
                                           std::optional<int> routers) {
  return this->credits(now, routers) - this->granted;
}

double windowed_retry_budget::credits(time_point now,
                                      std::optional<int> routers) {
  this->drop_expired(now);
  this->earn_by_time(now, routers);
  return this->request_credits + this->time_credits;
}

double windowed_retry_budget::credit_per_request() const {
  return earned_fraction * this->settings.retries_per_request;
}

void windowed_retry_budget::drop_expired(time_point now) {
  const time_point window_start = now - this->settings.window;
  while (!this->requests.empty() && this->requests.front() < window_start) {
    this->requests.pop_front();
  }
  const double earned =
      this->credit_per_request() * static_cast<double>(this->requests.size());
  this->request_credits = std::min(this->request_credits, earned);
}

void windowed_retry_budget::earn_by_time(time_point now,
                                         std::optional<int> routers) {
  if (!routers) {
    this->time_credits = 0;
    this->earned_until.reset();
    return;
  }
  const std::chrono::duration<double> passed =
      now - this->earned_until.value_or(now);
  const double per_window =
      earned_fraction * this->settings.constant_retries / std::max(*routers, 1);
  const double earned =
      per_window * passed.count() / seconds_of(this->settings.window);
  this->time_credits = std::min(this->time_credits + earned, per_window);
  this->earned_until = now;
}

}  // namespace boragehill::decide
