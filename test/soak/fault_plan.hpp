#ifndef BORAGEHILL_SOAK_FAULT_PLAN_HPP
#define BORAGEHILL_SOAK_FAULT_PLAN_HPP

#include <chrono>
#include <cstdint>
#include <vector>

#include "soak/fault_step.hpp"
#include "soak/fleet_size.hpp"

namespace boragehill::soak {

/// \return The faults of a seed's run, in their order; the same for the same
///     arguments. They come in series and overlap.
std::vector<fault_step> draw_faults(std::uint64_t seed,
                                    std::chrono::milliseconds length,
                                    const fleet_size& size);

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_FAULT_PLAN_HPP
