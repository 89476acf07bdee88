#ifndef BORAGEHILL_DECIDE_PORT_CLOSING_TIME_HPP
#define BORAGEHILL_DECIDE_PORT_CLOSING_TIME_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Upper bound of the time from the end of a killed process's connections to
/// the end of its listening socket. A scheduler that is overloaded takes some
/// tens of milliseconds.
inline constexpr milliseconds max_port_closing_time{500};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PORT_CLOSING_TIME_HPP
