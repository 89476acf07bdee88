#ifndef BORAGEHILL_ROUTER_PERMIT_DESK_HPP
#define BORAGEHILL_ROUTER_PERMIT_DESK_HPP

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "wire/permit_answer.hpp"

namespace boragehill::router {

/// Where an entry router's queued requests wait for the home's word. Thread
/// safe: each caller's thread waits for its own attempt, the control server
/// brings answers, the renewal duty brings losses.
class permit_desk {
 public:
  /// Opens a place for an attempt, before its home is asked, so that an
  /// answer that overtakes the reply is not missed.
  void open(const std::string& attempt, const vm_info& home);

  /// Marks an attempt as queued at its home. Only then is it renewed: before,
  /// the home may not know it yet, and would call it lost.
  void mark_queued(const std::string& attempt);

  /// Waits for the home's word.
  ///
  /// \return The answer; nothing if the home was lost or `until` passed.
  std::optional<wire::permit_answer> await(const std::string& attempt,
                                           time_point until);

  /// Closes the place; later answers for the attempt are dropped.
  void close(const std::string& attempt);

  /// Brings an answer.
  ///
  /// \return False if nobody waits for it any more.
  bool bring(const wire::permit_answer& answer);

  /// Tells waiting attempts that their home is gone or forgot them.
  void lose(const std::vector<std::string>& attempts);

  /// Returns the homes waited at, with the attempts queued at each.
  std::map<std::string, std::pair<vm_info, std::vector<std::string>>> waiting()
      const;

  /// Returns the number of open places.
  std::size_t size() const;

 private:
  /// Each place has its own condition, so that an answer wakes one thread.
  struct place {
    vm_info home;
    std::optional<wire::permit_answer> answer;
    bool queued = false;
    bool lost = false;
    std::condition_variable changed;
  };

  mutable std::mutex mutex;
  std::unordered_map<std::string, std::unique_ptr<place>> places;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_PERMIT_DESK_HPP
