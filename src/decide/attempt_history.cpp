#include "decide/attempt_history.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Maximum number of attempts, including refused ones. If that many servers
/// refused in turn, all are full or this router's view of them is wrong, and
/// the caller gets an error.
constexpr int max_attempts = 6;

}  // namespace

attempt_history::attempt_history(fleet::repeat_rule rule, bool resumable,
                                 int max_runs)
    : rule(rule), resumable(resumable), max_runs(std::max(max_runs, 1)) {}

void attempt_history::on_attempt(const std::string& server) {
  ++this->attempts_made;
  ++this->possible_arrivals;
  this->is_in_flight = true;
  this->sent_servers.insert(server);
  this->tried_servers.insert(server);
  this->last_server = server;
}

void attempt_history::on_unsent() {
  this->is_in_flight = false;
  --this->possible_arrivals;
}

void attempt_history::on_not_run(bool may_try_again) {
  this->is_in_flight = false;
  if (may_try_again) this->tried_servers.erase(this->last_server);
}

void attempt_history::on_possible_run() {
  this->is_in_flight = false;
  ++this->possible_runs;
  if (!this->can_resume()) return;
  this->tried_servers.erase(this->last_server);
  this->interrupted_servers.insert(this->last_server);
}

bool attempt_history::can_resume() const {
  return this->rule == fleet::repeat_rule::stream && this->resumable;
}

bool attempt_history::may_run_again() const {
  return this->rule == fleet::repeat_rule::idempotent || this->can_resume();
}

bool attempt_history::may_attempt() const {
  if (this->is_in_flight || this->attempts_made >= max_attempts) return false;
  if (this->possible_runs == 0) return true;
  return this->may_run_again() && this->possible_runs < this->max_runs;
}

bool attempt_history::may_reassign() const {
  return this->may_run_again() && this->attempts_made < max_attempts &&
         this->possible_runs + 1 < this->max_runs;
}

bool attempt_history::may_retry_failure() const {
  // A stream is resumed after an interruption, but a failure status is its
  // response.
  const bool is_idempotent = this->rule == fleet::repeat_rule::idempotent;
  return is_idempotent && this->attempts_made < max_attempts &&
         this->possible_runs + 1 < this->max_runs;
}

}  // namespace boragehill::decide
