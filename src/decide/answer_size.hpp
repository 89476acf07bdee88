#ifndef BORAGEHILL_DECIDE_ANSWER_SIZE_HPP
#define BORAGEHILL_DECIDE_ANSWER_SIZE_HPP

#include <optional>

namespace boragehill::decide {

/// How many tokens an answer may have; none for plain services.
struct answer_size {
  int most = 0;
  /// The caller's estimate, if it gives one.
  std::optional<int> hint;

  bool operator==(const answer_size&) const = default;

  /// \return The tokens to reckon with where the answer must not be cut off: a
  ///     multiple of the estimate, which is accurate only at the median.
  int safe_tokens() const {
    constexpr int hint_margin = 6;
    if (!this->hint || *this->hint >= this->most / hint_margin) {
      return this->most;
    }
    return *this->hint * hint_margin;
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ANSWER_SIZE_HPP
