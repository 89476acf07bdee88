#ifndef BORAGEHILL_HTTP_EVENT_SPLITTER_HPP
#define BORAGEHILL_HTTP_EVENT_SPLITTER_HPP

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
  void restart() { this->rest.clear(); }

  /// \return What came behind the last complete event.
  const std::string& incomplete() const { return this->rest; }

  /// \return The id of the last complete event, if any had one.
  const std::optional<std::string>& last_id() const { return this->id; }

 private:
  void note_ids(std::string_view events);

  std::string rest;
  std::optional<std::string> id;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_EVENT_SPLITTER_HPP
