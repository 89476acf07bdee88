#include "kernel/bounded_task_queue.hpp"

#include <utility>

#include "kernel/event_log.hpp"

namespace boragehill::kernel {

namespace {

thread_local bool on_spare_thread = false;

constexpr milliseconds accept_pause{10000};

}  // namespace

bounded_task_queue::bounded_task_queue(const std::string& name,
                                       std::size_t threads, std::size_t waiting)
    : pool(name, threads, waiting), spare(name + "-spare", 1, waiting) {}

bounded_task_queue::~bounded_task_queue() {
  this->shutdown();
}

void bounded_task_queue::enqueue(std::function<void()> serve) {
  if (this->pool.try_post(serve)) return;
  log_event(event::ring_full, {{"ring", "connections"}});
  const auto refuse = [serve] {
    on_spare_thread = true;
    serve();
  };
  // Waiting here stops the accepting, so further callers stay in the listen
  // queue. The task must run in the end, since only it closes the socket.
  const auto limit = time_point::clock::now() + accept_pause;
  if (this->spare.post_until(refuse, limit)) return;
  serve();
}

void bounded_task_queue::shutdown() {
  this->pool.stop();
  this->spare.stop();
}

bool bounded_task_queue::overloaded() {
  return on_spare_thread;
}

}  // namespace boragehill::kernel
