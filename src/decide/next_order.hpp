#ifndef BORAGEHILL_DECIDE_NEXT_ORDER_HPP
#define BORAGEHILL_DECIDE_NEXT_ORDER_HPP

#include <optional>
#include <string>

#include "decide/residency_target.hpp"
#include "decide/target_order.hpp"
#include "fleet/service.hpp"
#include "fleet/worker_report.hpp"

namespace boragehill::decide {

/// Decides what to order from a worker, given its own fresh report.
///
/// Never orders more than its memory or adapter places hold, whatever the
/// target asks: a worker that is ordered to load more crashes. Models whose
/// size isn't known are not loaded, and count as everything that is left where
/// they are resident already.
/// \param loading The model whose load was ordered and may be under way; the
///     report names it only once it is loaded. Empty if there is none.
/// \return The order, or nothing if the target is reached or must wait.
std::optional<target_order> next_order(const fleet::worker_report& report,
                                       const std::string& loading,
                                       const residency_target& target,
                                       const fleet::service& service);

/// \return The accelerator memory that the worker has left, in megabytes.
double free_memory_mb(const fleet::worker_report& report,
                      const fleet::service& service);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_NEXT_ORDER_HPP
