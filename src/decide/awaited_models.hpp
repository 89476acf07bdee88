#ifndef BORAGEHILL_DECIDE_AWAITED_MODELS_HPP
#define BORAGEHILL_DECIDE_AWAITED_MODELS_HPP

#include <map>
#include <string>

#include <boragehill/time_point.hpp>

#include "decide/demand_report.hpp"

namespace boragehill::decide {

/// Selects the ready times that a router needs.
///
/// Load pattern: a burst for rare models, when dozens of them load at a time.
/// With all ready times in each update to each of a hundred routers, the
/// planner's link was full, and routers and agents heard of everything late.
/// \param ready_times When each requested model is expected to be ready.
/// \param demand The last report of the router.
/// \return The ready times of the models that its requests wait for.
std::map<std::string, time_point> awaited_models(
    const std::map<std::string, time_point>& ready_times,
    const demand_report& demand);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_AWAITED_MODELS_HPP
