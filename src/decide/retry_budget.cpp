#include "decide/retry_budget.hpp"

#include <algorithm>

namespace boragehill::decide {

retry_budget::retry_budget(double share, double burst)
    : share(share), burst(burst), left(burst) {}

void retry_budget::on_first_attempt() {
  this->left = std::min(this->burst, this->left + this->share);
}

bool retry_budget::take_retry() {
  if (this->left < 1.0) return false;
  this->left -= 1.0;
  return true;
}

double retry_budget::tokens() const {
  return this->left;
}

}  // namespace boragehill::decide
