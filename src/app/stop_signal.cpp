#include "app/stop_signal.hpp"

#include <csignal>
#include <ctime>
#include <utility>

namespace boragehill::app {

namespace {

sigset_t stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

bool reload_asked = false;

}  // namespace

void block_stop_signals() {
  const sigset_t signals = stop_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A caller that hangs up while it is written to is an error of that write.
  std::signal(SIGPIPE, SIG_IGN);
}

bool wait_for_stop(milliseconds limit) {
  const sigset_t signals = stop_signals();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
  const std::chrono::nanoseconds rest = limit - seconds;
  const timespec wait{static_cast<time_t>(seconds.count()),
                      static_cast<long>(rest.count())};
  const int came = sigtimedwait(&signals, nullptr, &wait);
  if (came == SIGHUP) reload_asked = true;
  return came > 0 && came != SIGHUP;
}

bool take_reload() {
  return std::exchange(reload_asked, false);
}

}  // namespace boragehill::app
