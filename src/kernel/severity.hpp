#ifndef BORAGEHILL_KERNEL_SEVERITY_HPP
#define BORAGEHILL_KERNEL_SEVERITY_HPP

namespace boragehill::kernel {

/// How serious a log event is. `error` asks for an operator.
enum class severity { info, warning, error };

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SEVERITY_HPP
