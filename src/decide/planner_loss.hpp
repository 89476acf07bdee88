#ifndef BORAGEHILL_DECIDE_PLANNER_LOSS_HPP
#define BORAGEHILL_DECIDE_PLANNER_LOSS_HPP

#include <cstdint>

namespace boragehill::decide {

/// Decides when a router takes the planner that the store names for lost.
///
/// The load it answers: all machines lose power and come back. Three of four
/// routers read the row of the planner of before and tried for 0.5 s to reach
/// it, while its own router had started anew and led; their callers' models
/// were woken 0.7 s later. So a planner is tried for a short while only, and
/// the row looked at again. One lost packet takes as long and must not cost a
/// good planner its place: it is lost at the second failure.
class planner_loss {
 public:
  /// The link to the planner of a term ended, or was never made.
  /// \param reached It had been made.
  /// \return True if that planner is to be replaced.
  bool on_link_ended(std::int64_t term, bool reached) {
    const bool again = this->unreached == term;
    if (!reached) this->unreached = term;
    return reached || again;
  }

  /// The link to a planner was made.
  void on_reached() { this->unreached = none; }

 private:
  static constexpr std::int64_t none = -1;
  /// The term whose planner could not be reached last.
  std::int64_t unreached = none;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLANNER_LOSS_HPP
