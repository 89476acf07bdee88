#ifndef BORAGEHILL_AGENT_BOUNDED_POOL_HPP
#define BORAGEHILL_AGENT_BOUNDED_POOL_HPP

#include <cstddef>
#include <functional>
#include <httplib.h>
#include <memory>
#include <thread>
#include <vector>

#include "kernel/bounded_ring.hpp"

namespace boragehill::agent {

/// The data listener's threads behind a bounded queue. A connection that finds
/// the queue full goes to one thread that only refuses: dropped, it would leave
/// its router waiting for an answer that never comes.
class bounded_pool : public httplib::TaskQueue {
 public:
  /// \param threads How many connections are served at once.
  /// \param waiting How many may wait for a thread.
  bounded_pool(std::size_t threads, std::size_t waiting);

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

  /// Returns whether the calling thread only refuses.
  static bool refusing();

 private:
  using ring = kernel::bounded_ring<std::function<void()>>;

  static void serve(ring& tasks, bool refuse);

  ring tasks;
  ring overflow;
  std::vector<std::thread> threads;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_BOUNDED_POOL_HPP
