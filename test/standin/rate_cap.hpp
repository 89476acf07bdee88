#ifndef BORAGEHILL_STANDIN_RATE_CAP_HPP
#define BORAGEHILL_STANDIN_RATE_CAP_HPP

#include <algorithm>
#include <chrono>

namespace boragehill::standin {

/// A token bucket that holds one second's worth; not thread safe.
class rate_cap {
 public:
  /// \param per_s The tokens a second; no cap if it is 0.
  explicit rate_cap(double per_s) : per_s(per_s), left(per_s) {}

  /// Takes tokens if there are enough.
  bool take(double count) {
    if (this->per_s <= 0) return true;
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> since = now - this->last;
    this->left =
        std::min(this->per_s, this->left + since.count() * this->per_s);
    this->last = now;
    if (this->left < count) return false;
    this->left -= count;
    return true;
  }

 private:
  double per_s;
  double left;
  std::chrono::steady_clock::time_point last = std::chrono::steady_clock::now();
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_RATE_CAP_HPP
