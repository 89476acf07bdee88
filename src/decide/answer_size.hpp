#ifndef BORAGEHILL_DECIDE_ANSWER_SIZE_HPP
#define BORAGEHILL_DECIDE_ANSWER_SIZE_HPP

#include <optional>

namespace boragehill::decide {

/// Expected size of a response in tokens; 0 for plain services.
struct answer_size {
  int most = 0;
  /// The caller's estimate of the size, if it sent one.
  std::optional<int> hint;

  bool operator==(const answer_size&) const = default;

  /// \return A size that the response is unlikely to exceed, for decisions
  ///     where it must not be cut off: a multiple of the hint, which is
  ///     accurate only at the median, up to the maximum.
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
