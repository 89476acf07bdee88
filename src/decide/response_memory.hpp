#ifndef BORAGEHILL_DECIDE_RESPONSE_MEMORY_HPP
#define BORAGEHILL_DECIDE_RESPONSE_MEMORY_HPP

#include <cstddef>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/held_response.hpp"

namespace boragehill::decide {

/// Bounds the memory of responses that callers read more slowly than they come,
/// over all connections of a process together.
///
/// Load: hundreds of callers stop reading at once. With a bound for each
/// connection only, 600 of them fill 160 MB, and the process is killed with
/// all that read.
///
/// Connections share half of the bound evenly: above its part a connection's
/// server is not read on. If the whole bound is exceeded nevertheless,
/// connections are closed, those first whose callers have taken nothing for the
/// longest time.
class response_memory {
 public:
  /// A connection may hold this much where memory isn't short.
  static constexpr std::size_t most_held = 256U << 10U;
  /// Less wouldn't keep a caller that reads supplied from one read of its
  /// server's connection to the next.
  static constexpr std::size_t least_held = 4U << 10U;

  /// \param bound Bytes of all connections.
  explicit response_memory(std::size_t bound) : bound(bound) {}

  /// Records that a connection holds more or fewer bytes than before.
  void on_change(std::size_t before, std::size_t after);

  /// \return Bytes above which a connection's server is not read on.
  std::size_t pause_limit() const;

  /// \return True if connections have to be closed.
  bool is_exceeded() const { return this->total > this->bound; }

  /// \return Bytes of all connections.
  std::size_t held() const { return this->total; }

  /// \return Indices of the responses whose connections are closed, so that
  ///     the bound holds with a tenth to spare.
  std::vector<std::size_t> choose_closed(
      const std::vector<held_response>& responses) const;

 private:
  std::size_t bound;
  std::size_t total = 0;
  /// Connections that hold anything.
  std::size_t holders = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESPONSE_MEMORY_HPP
