#ifndef BORAGEHILL_DECIDE_CATCH_UP_SOURCE_HPP
#define BORAGEHILL_DECIDE_CATCH_UP_SOURCE_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// What a reader of a table requests to become current.
enum class catch_up_source {
  /// Each change since the version that it has, also those that later changes
  /// replaced.
  changes,
  /// The rows as they are now.
  newest_rows
};

/// Longer than the pause in which a reader lets changes add up.
constexpr milliseconds max_feed_gap{1000};

/// The changes cost as much as was missed, so they are requested only while
/// the reader has been current a moment ago.
///
/// \param state_age Time since the reader was known to be current.
inline catch_up_source choose_catch_up_source(milliseconds state_age) {
  return state_age <= max_feed_gap ? catch_up_source::changes
                                   : catch_up_source::newest_rows;
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CATCH_UP_SOURCE_HPP
