#ifndef BORAGEHILL_DECIDE_RESIDENCY_CHOICE_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_CHOICE_HPP

#include <string>
#include <vector>

#include "decide/residency_planner.hpp"

namespace boragehill::decide {

/// A worker for a model, with what has to go for it.
struct residency_planner::choice {
  std::string worker;
  const fleet::model* model = nullptr;
  std::vector<std::string> victims;
  milliseconds time{0};
  bool from_store = false;
  /// In seconds of waiting, over all requests.
  double cost = 0;
  /// The part of it that the victims' requests pay.
  double loss = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_CHOICE_HPP
