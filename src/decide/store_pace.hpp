#ifndef BORAGEHILL_DECIDE_STORE_PACE_HPP
#define BORAGEHILL_DECIDE_STORE_PACE_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// How many loads from the weight store should run at once.
///
/// The load it answers: after workers were replaced, dozens of models have no
/// copy left and all are to come from the store. The store serves a few loads
/// at full speed and slows all of them down beyond; how many, nobody says. Of
/// too many none comes in time: four at a store that serves one are all there
/// after four times as long, where one after the other had brought the first,
/// most wanted ones in the time of one and two.
///
/// So the number follows what loads take. One that was in time with all places
/// used adds a place; a slow one takes away those that the store can't serve.
class store_pace {
 public:
  /// A load that takes longer by this factor was slowed down by others. Loads
  /// that overlap in part are slowed by less and tell too little.
  static constexpr double slow = 1.2;
  /// Loads that overlapped by this much less than a place in the mean count as
  /// having used it.
  static constexpr double nearly = 0.25;
  /// A number that was found too high isn't tried again for so long: each try
  /// costs the loads that take part in it up to twice their time.
  static constexpr milliseconds remember{60000};

  /// \param first Assumed until loads have told more.
  explicit store_pace(int first) : places(first) {}

  /// A load ended, or is under way for longer than it should be.
  /// \param usual Its time when nothing else loads.
  /// \param took Its time so far.
  /// \param at_once Loads under way meanwhile, itself included, in the mean.
  void on_load(milliseconds usual, milliseconds took, double at_once,
               time_point now);

  /// A load is still under way that should be done.
  /// \param so_far Since it began.
  void on_overdue(milliseconds usual, milliseconds so_far, double at_once,
                  time_point now);

  /// \return Loads that may be under way at once; at least one.
  int at_once() const { return this->places; }

 private:
  int places;
  /// The store was found too slow for so many; zero if it never was.
  int too_many = 0;
  time_point found_slow;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STORE_PACE_HPP
