#ifndef BORAGEHILL_DECIDE_STREAM_ORIGINS_HPP
#define BORAGEHILL_DECIDE_STREAM_ORIGINS_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include <boragehill/time_point.hpp>

#include "decide/stream_origin.hpp"

namespace boragehill::decide {

/// Where resumable streams began, each by the attempt that brought its first
/// event.
///
/// A caller may take a stream up again at any router, so each router tells the
/// planner of its streams, and the planner answers the routers that ask.
class stream_origins {
 public:
  /// Maximum number of streams; further ones aren't recorded.
  static constexpr std::size_t capacity = 16384;

  /// Records where a stream's request was sent. Until an event comes it may be
  /// sent elsewhere, so the latest record counts, which is the one that ends
  /// last: it may come from the stream's router after an older one from others.
  /// \return False if there is no room.
  bool record(const std::string& stream, const stream_origin& origin,
              time_point now);

  /// \return Where a stream began, if it is known.
  std::optional<stream_origin> find(const std::string& stream,
                                    time_point now) const;

  /// \return All streams, for a planner that may know of none.
  std::map<std::string, stream_origin> all(time_point now) const;

  void drop_expired(time_point now);

  std::size_t size() const { return this->streams.size(); }

 private:
  struct known_stream {
    stream_origin origin;
    time_point until;
  };

  std::unordered_map<std::string, known_stream> streams;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STREAM_ORIGINS_HPP
