#include "kernel/duty_support.hpp"

#include <exception>
#include <pthread.h>

#include "kernel/event_log.hpp"

namespace boragehill::kernel::detail {

void name_this_thread(const std::string& name) {
  constexpr std::size_t longest = 15;
  pthread_setname_np(pthread_self(), name.substr(0, longest).c_str());
}

void run_guarded(const std::string& name, const std::function<void()>& step) {
  // An exception that left the thread's function would end the process and
  // every request in it. Only the step that threw is lost here, and the event
  // names the duty.
  try {
    step();
  } catch (const std::exception& failure) {
    log_event(event::duty_failed, {{"duty", name}, {"what", failure.what()}});
  } catch (...) {
    log_event(event::duty_failed, {{"duty", name}, {"what", "unknown"}});
  }
}

}  // namespace boragehill::kernel::detail
