#include "process-test/cpu_quota.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ctime>

#include "process-test/process.hpp"

namespace boragehill::process_test {

namespace {

constexpr std::chrono::milliseconds step{1};
/// What is left unused is kept up to this, in seconds.
constexpr double most_saved = 0.002;

}  // namespace

cpu_quota::cpu_quota(process& limited, double share)
    : limited(limited), share(share), thread([this] { this->run(); }) {}

cpu_quota::~cpu_quota() {
  this->over = true;
  this->thread.join();
  this->limited.signal(SIGCONT);
}

void cpu_quota::run() {
  auto before = std::chrono::steady_clock::now();
  double used = cpu_seconds(this->limited);
  double left = 0;
  bool stopped = false;
  while (!this->over) {
    std::this_thread::sleep_for(step);
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> passed = now - before;
    before = now;
    const double used_now = cpu_seconds(this->limited);
    left = std::min(left + passed.count() * this->share, most_saved);
    left -= used_now - used;
    used = used_now;
    if (stopped == (left <= 0)) continue;
    stopped = !stopped;
    this->limited.signal(stopped ? SIGSTOP : SIGCONT);
  }
}

double cpu_seconds(process& used) {
  clockid_t clock = 0;
  timespec time{};
  if (::clock_getcpuclockid(used.id(), &clock) != 0) return 0;
  if (::clock_gettime(clock, &time) != 0) return 0;
  constexpr double ns_per_second = 1e9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / ns_per_second;
}

}  // namespace boragehill::process_test
