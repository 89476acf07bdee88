#include "decide/retry_token_bucket.hpp"

#include <algorithm>

namespace boragehill::decide {

retry_token_bucket::retry_token_bucket(double tokens_per_attempt,
                                       double max_tokens)
    : tokens_per_attempt(tokens_per_attempt),
      max_tokens(max_tokens),
      tokens_left(max_tokens) {}

void retry_token_bucket::on_first_attempt() {
  this->tokens_left =
      std::min(this->max_tokens, this->tokens_left + this->tokens_per_attempt);
}

bool retry_token_bucket::take_retry() {
  if (this->tokens_left < 1.0) return false;
  this->tokens_left -= 1.0;
  return true;
}

double retry_token_bucket::tokens() const {
  return this->tokens_left;
}

}  // namespace boragehill::decide
