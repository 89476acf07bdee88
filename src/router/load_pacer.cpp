#include "router/load_pacer.hpp"

namespace boragehill::router {

wire::pace_answer load_pacer::ask(const wire::pace_request& request,
                                  time_point now) {
  const std::lock_guard lock(this->mutex);
  const std::pair key{request.server, request.model};
  if (request.ended) {
    this->started.erase(key);
    this->pacing.finish(request.server, request.model,
                        milliseconds(request.took_ms));
    return {};
  }
  if (this->started.contains(key)) return {};
  const time_point deadline = now + milliseconds(request.time_left_ms);
  // A full queue lets the load go: pacing is soft and refuses nothing.
  const bool taken = this->pacing.enqueue(
      {.server = request.server, .model = request.model, .deadline = deadline});
  if (!taken) return {};
  for (const auto& load : this->pacing.start_ready(now)) {
    this->started.emplace(load.server, load.model);
  }
  if (this->started.contains(key)) return {};
  return {.start = false,
          .wait_ms = this->pacing.expected_wait(deadline, now).count()};
}

std::size_t load_pacer::running() const {
  const std::lock_guard lock(this->mutex);
  return this->pacing.running();
}

}  // namespace boragehill::router
