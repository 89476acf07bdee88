#ifndef BORAGEHILL_AGENT_HANG_UP_WATCH_HPP
#define BORAGEHILL_AGENT_HANG_UP_WATCH_HPP

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace boragehill::agent {

/// Looks whether the routers of running attempts are still there.
///
/// A model may think for long before its next byte; a router that hung up
/// meanwhile would show only at that byte, and its slot stay taken so long.
class hang_up_watch {
 public:
  /// One running attempt; ends the watching when destroyed.
  class entry {
   public:
    /// \param connected Whether the router is still there.
    /// \param cancel Called at most once, when it is not.
    entry(std::function<bool()> connected, std::function<void()> cancel);

    /// Looks once.
    void look();
    /// Stops looking; waits for a look under way.
    void end();

   private:
    std::mutex mutex;
    std::function<bool()> connected;
    std::function<void()> cancel;
  };

  /// Watches an attempt until the entry's `end` is called.
  std::shared_ptr<entry> watch(std::function<bool()> connected,
                               std::function<void()> cancel);

  /// Looks at all attempts; to be called several times a second.
  void tick();

 private:
  std::mutex mutex;
  std::vector<std::weak_ptr<entry>> entries;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_HANG_UP_WATCH_HPP
