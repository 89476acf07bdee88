#include "fleet-test/stream_caller.hpp"

#include <chrono>
#include <httplib.h>
#include <utility>

namespace boragehill::fleet_test {

namespace {

constexpr int ok_status = 200;
constexpr auto deadline_ms = "9000";
constexpr std::chrono::seconds read_timeout{12};
constexpr auto event_end = "\n\n";
constexpr std::size_t event_end_size = 2;

}  // namespace

stream_caller::stream_caller(std::string attempt, std::string model)
    : first_attempt(std::move(attempt)), model(std::move(model)) {}

void stream_caller::call(const endpoint& router) {
  httplib::Request request;
  request.method = "POST";
  request.path = "/stream/r/" + this->first_attempt;
  this->last_attempt = this->last_attempt.empty() ? this->first_attempt
                                                  : this->last_attempt + "+";
  request.headers = {{"Host", "valves.example"},
                     {"Boragehill-Attempt-Id", this->last_attempt},
                     {"Boragehill-Model", this->model},
                     {"Boragehill-Deadline-Ms", deadline_ms}};
  if (!this->received.empty()) {
    request.headers.emplace("Last-Event-Id", this->last_event());
    request.headers.emplace("Resumes", this->first_attempt);
  }
  std::string body;
  this->last_status = 0;
  request.response_handler = [this](const httplib::Response& response) {
    this->last_status = response.status;
    return true;
  };
  request.content_receiver = [this, &body](const char* data, std::size_t size,
                                           std::uint64_t, std::uint64_t) {
    if (this->last_status == ok_status) body.append(data, size);
    return true;
  };
  httplib::Client client(router.address, router.port);
  client.set_read_timeout(read_timeout);
  const auto answer = client.send(request);
  this->complete = answer && this->last_status == ok_status;
  const auto end = body.rfind(event_end);
  if (end == std::string::npos) return;
  this->received += body.substr(0, end + event_end_size);
}

std::string stream_caller::last_event() const {
  const std::string mark = "id: ";
  const auto begin = this->received.rfind(mark) + mark.size();
  return this->received.substr(begin, this->received.find('\n', begin) - begin);
}

}  // namespace boragehill::fleet_test
