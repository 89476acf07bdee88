#include "decide/overload_detector.hpp"

#include <algorithm>
#include <chrono>

namespace boragehill::decide {

void overload_detector::on_sample(const load_sample& sample) {
  this->samples.push_back(sample);
  while (this->samples.size() > 2 &&
         sample.at - this->samples[1].at >= link_window) {
    this->samples.pop_front();
  }
  const auto delay_limit = this->delayed ? end_delay : max_delay;
  this->delayed = this->standing_delay() > delay_limit;
  const double link_limit =
      this->link_overloaded ? end_link_share : max_link_share;
  this->link_overloaded = this->link_share() > link_limit;
}

std::optional<overload_cause> overload_detector::cause() const {
  if (this->delayed || this->queue_stands()) return overload_cause::processor;
  if (this->link_overloaded) return overload_cause::link;
  return std::nullopt;
}

milliseconds overload_detector::standing_delay() const {
  if (this->samples.size() < 2) return milliseconds(0);
  const auto& last = this->samples.back();
  const auto& before = this->samples[this->samples.size() - 2];
  return std::min(before.delay, last.delay);
}

bool overload_detector::queue_stands() const {
  if (this->samples.size() < 2) return false;
  return this->samples.back().queued &&
         this->samples[this->samples.size() - 2].queued;
}

double overload_detector::link_share() const {
  if (this->samples.size() < 2) return 0;
  const auto& first = this->samples.front();
  const auto& last = this->samples.back();
  const std::chrono::duration<double> time = last.at - first.at;
  constexpr double bytes_per_megabit = 125000;
  const double carried = time.count() * this->link_mbps * bytes_per_megabit;
  if (carried <= 0) return 0;
  const auto used =
      std::max(last.received - first.received, last.sent - first.sent);
  return static_cast<double>(used) / carried;
}

}  // namespace boragehill::decide
