#include "decide/silence_watch.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// A live server answers a probe within some milliseconds.
constexpr milliseconds question_limit{150};
constexpr milliseconds question_pause{200};
/// Time that a server has after a successful probe to make progress again.
constexpr milliseconds trust{300};
/// A server that answers probes but no requests is probed at growing intervals,
/// up to 200 ms * 2^4, so that it is in use for a tenth of the time.
constexpr int most_doublings = 4;

}  // namespace

silence_watch::news silence_watch::judge(time_point now) {
  if (this->since) {
    if (this->pulse.last_heard() <= *this->since) return news::none;
    this->hollow_answers = 0;
    this->end_doubt();
    return news::heard;
  }
  if (now < this->trusted_until || !this->pulse.overdue(now)) {
    return news::none;
  }
  this->since = now;
  this->next_question = now;
  if (this->hollow_answers > 0) {
    const int doublings = std::min(this->hollow_answers - 1, most_doublings);
    this->next_question += question_pause * (1 << doublings);
  }
  return news::doubted;
}

bool silence_watch::confirmed(time_point now) const {
  return this->since && now - *this->since >= question_limit;
}

bool silence_watch::on_question_ended(bool answered, time_point now) {
  this->asking = false;
  this->next_question = now + question_pause;
  this->question_failed = !answered && this->since;
  if (!answered || !this->since) return false;
  ++this->hollow_answers;
  this->trusted_until = now + trust;
  this->end_doubt();
  return true;
}

}  // namespace boragehill::decide
