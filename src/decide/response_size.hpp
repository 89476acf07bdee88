#ifndef BORAGEHILL_DECIDE_RESPONSE_SIZE_HPP
#define BORAGEHILL_DECIDE_RESPONSE_SIZE_HPP

#include <optional>

namespace boragehill::decide {

/// Expected size of a response in tokens; 0 for plain services.
struct response_size {
  int max_tokens = 0;
  /// The caller's estimate of the size, if it sent one.
  std::optional<int> hint;

  bool operator==(const response_size&) const = default;

  /// \return A size in tokens that the response is unlikely to exceed, for
  ///     decisions where it must not be cut off: a multiple of the hint, which
  ///     is accurate only at the median, up to the maximum.
  int safe_tokens() const {
    constexpr int hint_margin = 6;
    if (!this->hint || *this->hint >= this->max_tokens / hint_margin) {
      return this->max_tokens;
    }
    return *this->hint * hint_margin;
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESPONSE_SIZE_HPP
