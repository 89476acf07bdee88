#include "kernel/event_loop.hpp"

#include <asio/post.hpp>
#include <exception>
#include <utility>

#include "kernel/duty_support.hpp"

namespace boragehill::kernel {

event_loop::event_loop(std::string name, std::size_t capacity)
    : name(std::move(name)), work(this->io.get_executor()), tasks(capacity) {}

event_loop::~event_loop() {
  this->stop();
}

bool event_loop::post(std::function<void()> task) {
  if (!this->tasks.try_push(std::move(task))) return false;
  asio::post(this->io, [this] { this->run_next(); });
  return true;
}

void event_loop::start() {
  this->thread = std::thread([this] { this->run(); });
}

void event_loop::stop() {
  this->tasks.close();
  this->io.stop();
  if (this->thread.joinable()) this->thread.join();
}

void event_loop::run() {
  detail::name_this_thread(this->name);
  while (!this->io.stopped()) {
    detail::run_guarded(this->name, [this] { this->io.run(); });
  }
}

void event_loop::run_next() {
  // One task was pushed for each call, so this never waits.
  if (auto task = this->tasks.pop()) (*task)();
}

}  // namespace boragehill::kernel
