#ifndef BORAGEHILL_KERNEL_DUTY_SUPPORT_HPP
#define BORAGEHILL_KERNEL_DUTY_SUPPORT_HPP

#include <functional>
#include <string>

namespace boragehill::kernel::detail {

/// Names the calling thread; Linux shows the first 15 characters.
void name_this_thread(const std::string& name);

/// Runs one step of a duty; an exception ends the step, not the thread, and
/// is logged as `duty_failed`.
void run_guarded(const std::string& name, const std::function<void()>& step);

}  // namespace boragehill::kernel::detail

#endif  // BORAGEHILL_KERNEL_DUTY_SUPPORT_HPP
