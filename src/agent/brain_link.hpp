#ifndef BORAGEHILL_AGENT_BRAIN_LINK_HPP
#define BORAGEHILL_AGENT_BRAIN_LINK_HPP

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <utility>

#include "agent/brain_message.hpp"

namespace boragehill::agent {

/// How other duties reach the brain.
class brain_link {
 public:
  /// \param post Hands a message over; false if the brain's ring is full or
  ///   the brain has stopped.
  /// \param stopped Whether the brain takes nothing any more.
  brain_link(std::function<bool(brain_message)> post,
             std::function<bool()> stopped);

  /// Hands a message over, dropping it if the ring is full.
  bool tell(brain_message message) const;

  /// Hands a message over, waiting while the ring is full. For outcomes that
  /// the brain waits for: a lost one would leave a slot or an order taken
  /// for ever.
  void tell_surely(const brain_message& message) const;

  /// Asks and waits for the answer.
  ///
  /// \param make Makes the message around the place for the answer.
  /// \return Nothing if the ring is full or the brain has stopped.
  template <class Answer, class Make>
  std::optional<Answer> ask(Make make) const {
    auto reply = std::make_shared<std::promise<Answer>>();
    auto answer = reply->get_future();
    if (!this->tell(make(std::move(reply)))) return std::nullopt;
    try {
      return answer.get();
    } catch (const std::future_error&) {
      return std::nullopt;
    }
  }

 private:
  std::function<bool(brain_message)> post;
  std::function<bool()> stopped;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_BRAIN_LINK_HPP
