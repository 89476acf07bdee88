#include "decide/server_load.hpp"

#include <algorithm>
#include <cmath>

namespace boragehill::decide {

namespace {

/// \return What is left of an old value after some time.
double remainder(time_point::duration passed, milliseconds time_constant) {
  const std::chrono::duration<double, std::milli> ms = passed;
  return std::exp(-std::max(ms.count(), 0.0) /
                  static_cast<double>(time_constant.count()));
}

double blend(double old_value, double new_value, double old_part) {
  return new_value + (old_value - new_value) * old_part;
}

}  // namespace

void server_load::on_figures(const figures& told, int own_requests,
                             time_point now) {
  if (this->told_at) {
    const auto passed = now - *this->told_at;
    this->recent_pace =
        blend(this->recent_pace, told.pace, remainder(passed, recent_time));
    this->usual_pace =
        blend(this->usual_pace, told.pace, remainder(passed, usual_time));
  } else {
    this->recent_pace = told.pace;
    this->usual_pace = told.pace;
  }
  this->others = std::max(told.running + told.waiting - own_requests, 0);
  this->told_at = now;
}

double server_load::pace(time_point now) const {
  if (!this->told_at) return 1;
  return blend(this->recent_pace, this->usual_pace,
               remainder(now - *this->told_at, recent_time));
}

std::optional<int> server_load::other_requests(time_point now) const {
  if (!this->told_at || now - *this->told_at > planner_age) {
    return std::nullopt;
  }
  return this->others;
}

}  // namespace boragehill::decide
