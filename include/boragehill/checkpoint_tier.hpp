#ifndef BORAGEHILL_CHECKPOINT_TIER_HPP
#define BORAGEHILL_CHECKPOINT_TIER_HPP

namespace boragehill {

/// Where a backend server would load a checkpoint from, nearest first.
enum class checkpoint_tier { memory = 0, disk = 1, remote = 2 };

}  // namespace boragehill

#endif  // BORAGEHILL_CHECKPOINT_TIER_HPP
