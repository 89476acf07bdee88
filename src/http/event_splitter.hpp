#ifndef BORAGEHILL_HTTP_EVENT_SPLITTER_HPP
#define BORAGEHILL_HTTP_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragehill::http {

/// Cuts an event stream behind its last complete event, so that what breaks
/// off in the middle of one can go on elsewhere with nothing doubled.
class event_splitter {
 public:
  /// Takes bytes in.
  /// \return The complete events that are new, as they came.
  std::string feed(std::string_view bytes);

  /// Forgets the incomplete event, as the stream goes on elsewhere.
  void restart();

  /// Makes the stream go on behind an event that the caller has.
  void begin_after(std::string_view last_id);

  /// \return True if an event came that the caller has, by its number, since
  ///     the stream was to go on behind it. It and what follows isn't passed
  ///     on.
  bool repeats() const { return this->repeated; }

  /// \return What came behind the last complete event.
  const std::string& incomplete() const { return this->rest; }

  /// \return True if an event has begun whose end hasn't come. Comments and
  ///     empty lines begin none.
  bool inside_event() const;

  /// \return The number of complete events since the last `restart`.
  std::size_t event_count() const { return this->count; }

  /// \return The id of the last complete event, if any had one.
  const std::optional<std::string>& last_id() const { return this->id; }

 private:
  void note_event(std::string_view event);
  bool is_repeated(std::string_view event) const;

  std::string rest;
  std::optional<std::string> id;
  std::size_t count = 0;
  /// The number of the last event before the last `restart`.
  std::optional<std::uint64_t> behind;
  bool repeated = false;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_EVENT_SPLITTER_HPP
