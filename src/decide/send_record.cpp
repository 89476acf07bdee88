#include "decide/send_record.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Maximum number of attempts, including refused ones. After so many refusals
/// all servers are full or this router's view of them is wrong, and the caller
/// gets an error.
constexpr int most_sends = 6;

}  // namespace

send_record::send_record(fleet::repeat_rule rule, bool resumable, int attempts)
    : rule(rule), resumable(resumable), attempts(std::max(attempts, 1)) {}

void send_record::on_send(const std::string& server) {
  ++this->sends;
  this->out = true;
  this->servers.insert(server);
  this->last = server;
}

void send_record::on_not_run(bool ask_again) {
  this->out = false;
  if (ask_again) this->servers.erase(this->last);
}

void send_record::on_perhaps_run() {
  this->out = false;
  ++this->runs;
  if (!this->goes_on()) return;
  this->servers.erase(this->last);
  this->broken.insert(this->last);
}

bool send_record::goes_on() const {
  return this->rule == fleet::repeat_rule::stream && this->resumable;
}

bool send_record::repeatable() const {
  return this->rule == fleet::repeat_rule::idempotent || this->goes_on();
}

bool send_record::may_send() const {
  if (this->out || this->sends >= most_sends) return false;
  if (this->runs == 0) return true;
  return this->repeatable() && this->runs < this->attempts;
}

bool send_record::may_move() const {
  return this->repeatable() && this->sends < most_sends &&
         this->runs + 1 < this->attempts;
}

bool send_record::may_repeat_failure() const {
  // A stream is resumed after an interruption, but a failure status is its
  // response.
  const bool repeatable = this->rule == fleet::repeat_rule::idempotent;
  return repeatable && this->sends < most_sends &&
         this->runs + 1 < this->attempts;
}

}  // namespace boragehill::decide
