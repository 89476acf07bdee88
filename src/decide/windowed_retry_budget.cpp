#include "decide/windowed_retry_budget.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

void drop_before(std::deque<time_point>& times, time_point window_start) {
  while (!times.empty() && times.front() < window_start) times.pop_front();
}

}  // namespace

void windowed_retry_budget::on_request(time_point now) {
  this->drop_expired(now);
  this->requests.push_back(now);
}

bool windowed_retry_budget::take_retry(time_point now,
                                       std::optional<int> routers) {
  if (this->retries_left(now, routers) < 1) return false;
  this->retries.push_back(now);
  return true;
}

double windowed_retry_budget::retries_left(time_point now,
                                           std::optional<int> routers) {
  this->drop_expired(now);
  const double proportional = this->settings.retries_per_request *
                              static_cast<double>(this->requests.size());
  const double constant =
      routers ? this->settings.constant_retries / std::max(*routers, 1) : 0;
  return used_fraction * (proportional + constant) -
         static_cast<double>(this->retries.size());
}

void windowed_retry_budget::drop_expired(time_point now) {
  const time_point window_start = now - this->settings.window;
  drop_before(this->requests, window_start);
  drop_before(this->retries, window_start);
}

}  // namespace boragehill::decide
