#ifndef BORAGEHILL_DECIDE_OVERLOAD_CAUSE_HPP
#define BORAGEHILL_DECIDE_OVERLOAD_CAUSE_HPP

namespace boragehill::decide {

/// What a router has too little of for its load.
enum class overload_cause { processor, link };

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_OVERLOAD_CAUSE_HPP
