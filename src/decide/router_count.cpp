#include "decide/router_count.hpp"

#include <algorithm>

namespace boragehill::decide {

void router_count::on_told(int routers, time_point now) {
  this->lost_at.reset();
  if (this->is_settled(now)) {
    this->largest = this->smaller;
    this->smaller_since.reset();
  }
  if (routers >= this->largest.value_or(0)) {
    this->largest = routers;
    this->smaller_since.reset();
    return;
  }
  if (!this->smaller_since) {
    this->smaller_since = now;
    this->smaller = 0;
  }
  this->smaller = std::max(this->smaller, routers);
}

void router_count::on_planner_lost(time_point now) {
  this->lost_at = this->lost_at.value_or(now);
  if (!this->is_settled(now)) this->smaller_since.reset();
}

std::optional<int> router_count::value(time_point now) const {
  if (this->lost_at && now - *this->lost_at >= this->hold) return std::nullopt;
  return this->last_known(now);
}

std::optional<int> router_count::last_known(time_point now) const {
  return this->is_settled(now) ? this->smaller : this->largest;
}

bool router_count::is_settled(time_point now) const {
  return this->smaller_since && now - *this->smaller_since >= this->hold;
}

}  // namespace boragehill::decide
