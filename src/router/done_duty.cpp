#include "router/done_duty.hpp"

#include <utility>

#include "router/home_link.hpp"

namespace boragehill::router {

namespace {

constexpr std::size_t ring_capacity = 8192;
constexpr milliseconds flush_interval{20};

}  // namespace

done_duty::done_duty(home_link& link)
    : homes(link),
      worker(
          "done", ring_capacity, flush_interval,
          [this](ended& message) { this->take(message); },
          [this] { this->flush(); }) {}

void done_duty::stop() {
  this->worker.stop();
  this->flush();
}

void done_duty::post(const vm_info& home, wire::attempt_end end) {
  this->worker.post(ended{home, std::move(end)});
}

void done_duty::tell(const vm_info& home, const wire::attempt_end& end) {
  this->homes.done(home, {end});
}

void done_duty::take(ended& message) {
  auto& [home, ends] = this->pending[message.home.id];
  home = std::move(message.home);
  ends.push_back(std::move(message.end));
}

void done_duty::flush() {
  const auto batches = std::exchange(this->pending, {});
  for (const auto& [id, batch] : batches) {
    this->homes.done(batch.first, batch.second);
  }
}

}  // namespace boragehill::router
