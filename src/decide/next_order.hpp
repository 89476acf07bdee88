#ifndef BORAGEHILL_DECIDE_NEXT_ORDER_HPP
#define BORAGEHILL_DECIDE_NEXT_ORDER_HPP

#include <optional>
#include <string>

#include "decide/residency_target.hpp"
#include "decide/target_order.hpp"
#include "fleet/service.hpp"
#include "fleet/worker_report.hpp"

namespace boragehill::decide {

/// Decides the next order to a worker from its own fresh report.
///
/// Never orders more than its memory or adapter slots can hold, whatever the
/// target says: a worker that is ordered to load more crashes. Models of
/// unknown size are not loaded; where one is resident, no memory counts as
/// free.
/// \param loading The model whose load was ordered and may be in progress; the
///     report names it only once it is loaded. Empty if there is none.
/// \return The order; nothing if the target is reached or must wait.
std::optional<target_order> next_order(const fleet::worker_report& report,
                                       const std::string& loading,
                                       const residency_target& target,
                                       const fleet::service& service);

/// \return The free accelerator memory of the worker, in megabytes.
double free_memory_mb(const fleet::worker_report& report,
                      const fleet::service& service);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_NEXT_ORDER_HPP
