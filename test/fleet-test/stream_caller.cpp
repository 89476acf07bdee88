#include "fleet-test/stream_caller.hpp"

#include <chrono>
#include <httplib.h>
#include <sstream>
#include <utility>

namespace boragehill::fleet_test {

namespace {

constexpr int ok_status = 200;
constexpr std::chrono::seconds connection_timeout{1};
/// An answer may come so long after the deadline.
constexpr std::chrono::seconds late{3};
constexpr auto event_end = "\n\n";
constexpr std::size_t event_end_size = 2;

}  // namespace

stream_caller::stream_caller(std::string attempt, std::string model,
                             std::chrono::milliseconds deadline,
                             std::string prefix)
    : first_attempt(std::move(attempt)),
      model(std::move(model)),
      deadline(deadline),
      prefix(std::move(prefix)) {}

void stream_caller::call(const endpoint& router) {
  httplib::Request request;
  request.method = "POST";
  request.path = this->prefix + this->first_attempt;
  this->last_attempt = this->last_attempt.empty() ? this->first_attempt
                                                  : this->last_attempt + "+";
  request.headers = {
      {"Host", "valves.example"},
      {"Boragehill-Attempt-Id", this->last_attempt},
      {"Boragehill-Model", this->model},
      {"Boragehill-Deadline-Ms", std::to_string(this->deadline.count())}};
  if (!this->received.empty()) {
    request.headers.emplace("Last-Event-Id",
                            std::to_string(this->event_ids().back()));
    request.headers.emplace("Resumes", this->begun_attempt);
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
  client.set_connection_timeout(connection_timeout);
  client.set_read_timeout(this->deadline + late);
  const auto answer = client.send(request);
  this->connected = answer.error() != httplib::Error::Connection;
  this->complete = answer && this->last_status == ok_status;
  const auto end = body.rfind(event_end);
  if (end == std::string::npos) return;
  if (this->received.empty()) this->begun_attempt = this->last_attempt;
  this->received += body.substr(0, end + event_end_size);
}

std::vector<int> stream_caller::event_ids() const {
  const std::string mark = "id: ";
  std::vector<int> ids;
  std::istringstream lines(this->received);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(mark)) continue;
    ids.push_back(std::stoi(line.substr(mark.size())));
  }
  return ids;
}

}  // namespace boragehill::fleet_test
