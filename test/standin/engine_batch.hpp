#ifndef BORAGEHILL_STANDIN_ENGINE_BATCH_HPP
#define BORAGEHILL_STANDIN_ENGINE_BATCH_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace boragehill::standin {

/// The slots of a backend server and who waits for one. Thread safe.
class engine_batch {
 public:
  /// \param slots The requests that run at once.
  /// \param lag How late `reported_running` is.
  engine_batch(std::uint32_t slots, std::chrono::milliseconds lag);

  /// Waits for a slot; a higher priority goes first.
  ///
  /// \return A ticket for the other calls; 0 if cancelled meanwhile.
  std::uint64_t enter(const std::string& attempt, const std::string& model,
                      int priority);

  /// Gives the slot of a ticket back.
  void leave(std::uint64_t ticket);

  /// Waits as long as generating takes.
  ///
  /// \return False as soon as the ticket is cancelled.
  bool work(std::uint64_t ticket, std::chrono::duration<double> time);

  /// Cancels all that waits or runs under an attempt.
  void cancel(const std::string& attempt);

  /// Returns the requests that run just now, of one model.
  std::uint32_t running_of(const std::string& model);

  /// Returns the requests that ran a lag ago, of all models.
  std::uint32_t reported_running();

  /// Returns the slots.
  std::uint32_t size() const { return this->slots; }

 private:
  struct entry {
    std::string attempt;
    std::string model;
    bool is_running = false;
    bool is_cancelled = false;
  };

  void record();
  bool is_next(const std::pair<int, std::uint64_t>& place) const;

  std::uint32_t slots;
  std::chrono::milliseconds lag;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::uint64_t, entry> entries;
  std::set<std::pair<int, std::uint64_t>> waiting;
  std::uint64_t last_ticket = 0;
  std::uint32_t running = 0;
  std::deque<std::pair<std::chrono::steady_clock::time_point, std::uint32_t>>
      history;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_ENGINE_BATCH_HPP
