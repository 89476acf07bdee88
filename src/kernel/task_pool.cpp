#include "kernel/task_pool.hpp"

#include "kernel/duty_support.hpp"

namespace boragehill::kernel {

task_pool::task_pool(const std::string& name, std::size_t thread_count,
                     std::size_t waiting)
    : ring(waiting) {
  for (std::size_t i = 0; i < thread_count; ++i) {
    this->threads.emplace_back([this, name] {
      detail::name_this_thread(name);
      while (auto work = this->ring.pop()) detail::run_guarded(name, *work);
    });
  }
}

task_pool::~task_pool() {
  this->stop();
}

void task_pool::stop() {
  this->ring.close();
  for (auto& thread : this->threads) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace boragehill::kernel
