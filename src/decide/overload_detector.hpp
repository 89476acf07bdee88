#ifndef BORAGEHILL_DECIDE_OVERLOAD_DETECTOR_HPP
#define BORAGEHILL_DECIDE_OVERLOAD_DETECTOR_HPP

#include <deque>
#include <optional>

#include <boragehill/time_point.hpp>

#include "decide/load_sample.hpp"
#include "decide/overload_cause.hpp"

namespace boragehill::decide {

/// Tells whether a router has more load than its processor or its link can
/// bear.
///
/// The processor is overloaded while work waits for it all the time, in the
/// loop or in the listen queue: a delay that only some samples show is a burst,
/// or a pause of the process. A link is overloaded while more than
/// `max_link_share` of it is in use, in either direction.
class overload_detector {
 public:
  /// A request meets it on its way there and on its way back.
  static constexpr milliseconds max_delay{50};
  /// Streams that have begun go on to need more, and the rest of the link is
  /// for what isn't counted: the platform's feeds, the planner, packets sent
  /// again.
  static constexpr double max_link_share = 0.65;
  /// Overload ends below these, so that it isn't left at the first gap.
  static constexpr milliseconds end_delay{25};
  static constexpr double end_link_share = 0.55;
  /// The time over which the use of the link is measured.
  static constexpr milliseconds link_window{200};

  /// \param link_mbps What the link carries in each direction, in megabits a
  ///     second; 0 if that isn't known, which is never overloaded.
  explicit overload_detector(double link_mbps) : link_mbps(link_mbps) {}

  /// Takes the next sample, some times within `link_window`.
  void on_sample(const load_sample& sample);

  /// \return What is overloaded; the processor, if both are.
  std::optional<overload_cause> cause() const;

  /// \return The delay that the last samples have in common.
  milliseconds standing_delay() const;

  /// \return True if the loop has been late since its delay stood above
  ///     `max_delay`.
  bool delay_stands() const { return this->delayed; }

  /// \return True if the link has been overloaded since its use passed
  ///     `max_link_share`.
  bool link_full() const { return this->link_overloaded; }

  /// \return True if connections wait to be accepted in all of the last
  /// samples.
  bool queue_stands() const;

  /// \return The share of the link that was in use, in the direction that was
  ///     used more.
  double link_share() const;

 private:
  std::deque<load_sample> samples;
  double link_mbps;
  bool delayed = false;
  bool link_overloaded = false;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_OVERLOAD_DETECTOR_HPP
