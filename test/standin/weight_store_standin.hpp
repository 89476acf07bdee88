#ifndef BORAGEHILL_STANDIN_WEIGHT_STORE_STANDIN_HPP
#define BORAGEHILL_STANDIN_WEIGHT_STORE_STANDIN_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <json/json.h>
#include <list>
#include <mutex>

#include "standin/standin_server.hpp"

namespace boragehill::standin {

/// The weight store: a few loads at full speed, more of them share it.
/// `GET /checkpoint` answers when the load is done.
class weight_store_standin {
 public:
  weight_store_standin(const standin_settings& settings,
                       standin_server& server);

 private:
  /// The time that a load has still to run at full speed.
  using work = std::chrono::duration<double>;

  void load();
  double speed() const;
  void advance();
  Json::Value truth();

  double parallel;
  work full_load;
  std::mutex mutex;
  std::condition_variable changed;
  std::list<work> active;
  std::chrono::steady_clock::time_point last;
  std::uint64_t done = 0;
  std::size_t most_active = 0;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_WEIGHT_STORE_STANDIN_HPP
