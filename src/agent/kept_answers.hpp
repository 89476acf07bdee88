#ifndef BORAGEHILL_AGENT_KEPT_ANSWERS_HPP
#define BORAGEHILL_AGENT_KEPT_ANSWERS_HPP

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include <boragehill/attempt_id.hpp>

namespace boragehill::agent {

/// The whole answers of ended non-idempotent attempts, for callers that send
/// such a request again. Bounded in bytes; the oldest go first. Thread safe.
class kept_answers {
 public:
  /// \param most_bytes Room for all answers together.
  explicit kept_answers(std::size_t most_bytes);

  /// Keeps an answer's frames, unless they do not fit at all.
  void keep(const attempt_id& id, std::string frames);

  /// Returns an answer's frames; null if it is not kept.
  std::shared_ptr<const std::string> find(const attempt_id& id) const;

  /// Returns the bytes of all kept answers.
  std::size_t bytes() const;

 private:
  mutable std::mutex mutex;
  std::size_t most_bytes;
  std::size_t held_bytes = 0;
  std::deque<attempt_id> oldest_first;
  std::unordered_map<attempt_id, std::shared_ptr<const std::string>> answers;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_KEPT_ANSWERS_HPP
