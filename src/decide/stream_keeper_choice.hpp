#ifndef BORAGEHILL_DECIDE_STREAM_KEEPER_CHOICE_HPP
#define BORAGEHILL_DECIDE_STREAM_KEEPER_CHOICE_HPP

#include <cstddef>
#include <vector>

#include "decide/stream_keeper_candidate.hpp"

namespace boragehill::decide {

/// Chooses agents that begin to keep streams, in failure domains without such
/// an agent as long as there are any.
/// \param missing How many are needed beside those that keep streams.
/// \return The candidates' indices; fewer if no more may begin.
std::vector<std::size_t> choose_stream_keepers(
    const std::vector<stream_keeper_candidate>& candidates,
    std::size_t missing);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STREAM_KEEPER_CHOICE_HPP
