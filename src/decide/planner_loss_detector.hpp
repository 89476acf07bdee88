#ifndef BORAGEHILL_DECIDE_PLANNER_LOSS_DETECTOR_HPP
#define BORAGEHILL_DECIDE_PLANNER_LOSS_DETECTOR_HPP

#include <cstdint>

namespace boragehill::decide {

/// Decides when a router considers the planner named by the `planner_row` lost.
///
/// After a power loss of all machines, three of four routers read the row of
/// the previous planner and tried for 0.5 s to connect to it, while its own
/// router had restarted and led; their models were loaded 0.7 s later. So a
/// connection attempt is short, and the row is read again afterwards. One lost
/// packet causes the same failure and must not replace a healthy planner, so
/// the planner is considered lost at the second failure to connect.
class planner_loss_detector {
 public:
  /// Records that the connection to the planner of a term ended or could not be
  /// made.
  /// \param was_connected True if the connection had been established.
  /// \return True if that planner is to be replaced.
  bool on_link_ended(std::int64_t term, bool was_connected) {
    const bool failed_before = this->unreached_term == term;
    if (!was_connected) this->unreached_term = term;
    return was_connected || failed_before;
  }

  /// Forgets an earlier failure after a connection was established.
  void on_connected() { this->unreached_term = no_term; }

 private:
  static constexpr std::int64_t no_term = -1;
  /// The term whose planner could not be reached last.
  std::int64_t unreached_term = no_term;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLANNER_LOSS_DETECTOR_HPP
