#include "decide/send_budget.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

void drop_before(std::deque<time_point>& times, time_point limit) {
  while (!times.empty() && times.front() < limit) times.pop_front();
}

}  // namespace

void send_budget::on_request(time_point now) {
  this->forget_old(now);
  this->requests.push_back(now);
}

bool send_budget::take(time_point now, int routers) {
  if (this->left(now, routers) < 1) return false;
  this->repeats.push_back(now);
  return true;
}

double send_budget::left(time_point now, int routers) {
  this->forget_old(now);
  const double by_ratio =
      this->settings.ratio * static_cast<double>(this->requests.size());
  const double constant = this->settings.extra / std::max(routers, 1);
  return margin * (by_ratio + constant) -
         static_cast<double>(this->repeats.size());
}

void send_budget::forget_old(time_point now) {
  const time_point limit = now - this->settings.window;
  drop_before(this->requests, limit);
  drop_before(this->repeats, limit);
}

}  // namespace boragehill::decide
