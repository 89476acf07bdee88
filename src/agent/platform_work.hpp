#ifndef BORAGEHILL_AGENT_PLATFORM_WORK_HPP
#define BORAGEHILL_AGENT_PLATFORM_WORK_HPP

#include <cstdint>

#include <boragehill/time_point.hpp>

#include "agent/own_row.hpp"

namespace boragehill {
class backend;
}

namespace boragehill::agent {

class brain_link;

/// The platform duty's work: takes the fencing number once, then reads the
/// grants when asked. A table that is down is tried again with jittered
/// backoff for as long as it takes; the engine's models are served meanwhile.
class platform_work {
 public:
  /// \param row The own row.
  /// \param engine Asked once for its capacity; must outlive this.
  /// \param brain Told of the outcome; must outlive this.
  platform_work(own_row row, backend& engine, const brain_link& brain);

  /// The brain wants the grants.
  void want_grants() { this->grants_wanted = true; }

  /// Does what is due.
  void tick();

 private:
  result<void> take_fence();
  result<void> read_grants();
  void note(const result<void>& outcome, time_point now);

  own_row row;
  backend* engine;
  const brain_link* brain;
  bool fence_wanted = true;
  bool grants_wanted = false;
  bool outage = false;
  std::uint32_t failures = 0;
  time_point next_try{};
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_PLATFORM_WORK_HPP
