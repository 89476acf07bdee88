#ifndef BORAGEHILL_KERNEL_TIMER_SUPPORT_HPP
#define BORAGEHILL_KERNEL_TIMER_SUPPORT_HPP

#include <asio/steady_timer.hpp>

namespace boragehill::kernel {

/// Tells a timer's handler that it comes too late to count.
///
/// A process that was paused finds timers run out and bytes that have come
/// meanwhile, both at once. The bytes' handler sets the timer anew or switches
/// it off, yet the timer's own handler is queued already, without an error: a
/// connection that just got a request was closed as idle.
///
/// \return True if the timer was set anew or switched off since.
inline bool is_outdated(const asio::steady_timer& timer) {
  return timer.expiry() > asio::steady_timer::clock_type::now();
}

/// Switches a timer off, so that `is_outdated` holds for a queued handler.
inline void switch_off(asio::steady_timer& timer) {
  timer.expires_at(asio::steady_timer::time_point::max());
}

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_TIMER_SUPPORT_HPP
