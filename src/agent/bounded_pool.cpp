#include "agent/bounded_pool.hpp"

#include <utility>

namespace boragehill::agent {

namespace {

thread_local bool refusing_thread = false;

}  // namespace

bounded_pool::bounded_pool(std::size_t threads, std::size_t waiting)
    : tasks(waiting), overflow(waiting) {
  this->threads.reserve(threads + 1);
  for (std::size_t i = 0; i < threads; ++i) {
    this->threads.emplace_back([this] { serve(this->tasks, false); });
  }
  this->threads.emplace_back([this] { serve(this->overflow, true); });
}

void bounded_pool::enqueue(std::function<void()> task) {
  if (this->tasks.try_push(task)) return;
  // Waiting here holds up the accepting thread: the listen backlog is the
  // last bound, and a router whose connection is not taken knows that its
  // attempt was never sent.
  this->overflow.push_until(std::move(task), time_point::max());
}

void bounded_pool::shutdown() {
  this->tasks.close();
  this->overflow.close();
  for (auto& thread : this->threads) thread.join();
  this->threads.clear();
}

bool bounded_pool::refusing() {
  return refusing_thread;
}

void bounded_pool::serve(ring& tasks, bool refuse) {
  refusing_thread = refuse;
  while (auto task = tasks.pop()) (*task)();
}

}  // namespace boragehill::agent
