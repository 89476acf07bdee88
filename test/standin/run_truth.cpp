#include "standin/run_truth.hpp"

#include "standin/expected_answer.hpp"

namespace boragehill::standin {

void run_truth::start(const std::string& attempt, const std::string& body) {
  const std::scoped_lock lock(this->mutex);
  ++this->started;
  ++this->groups["by_attempt"][attempt];
  ++this->groups["by_digest"][digest_of(body)];
}

void run_truth::finish() {
  const std::scoped_lock lock(this->mutex);
  ++this->finished;
}

void run_truth::cancel() {
  const std::scoped_lock lock(this->mutex);
  ++this->cancelled;
}

void run_truth::count(const std::string& group, const std::string& name) {
  const std::scoped_lock lock(this->mutex);
  ++this->groups[group][name];
}

Json::Value run_truth::json() {
  const std::scoped_lock lock(this->mutex);
  Json::Value body;
  body["started"] = Json::UInt64{this->started};
  body["finished"] = Json::UInt64{this->finished};
  body["cancelled"] = Json::UInt64{this->cancelled};
  body["by_attempt"] = Json::Value(Json::objectValue);
  body["by_digest"] = Json::Value(Json::objectValue);
  for (const auto& [group, counts] : this->groups) {
    for (const auto& [name, count] : counts) {
      body[group][name] = Json::UInt64{count};
    }
  }
  return body;
}

}  // namespace boragehill::standin
