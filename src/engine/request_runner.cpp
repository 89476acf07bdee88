#include "engine/request_runner.hpp"

#include <utility>

#include <boragehill/backend_request.hpp>
#include <boragehill/result_code.hpp>

#include "engine/running_request.hpp"

namespace boragehill::engine {

request_runner::request_runner(endpoint address)
    : address(std::move(address)) {}

request_runner::~request_runner() = default;

result<void> request_runner::run(const backend_request& request,
                                 answer_sink& sink) {
  const auto started = std::make_shared<detail::running_request>(this->address);
  {
    const std::scoped_lock lock(this->mutex);
    // A second run of an attempt would be a second send of it.
    if (!this->running.emplace(request.attempt, started).second) {
      return result_code::attempt_seen;
    }
  }
  auto outcome = started->run(request, sink);
  const std::scoped_lock lock(this->mutex);
  this->running.erase(request.attempt);
  return outcome;
}

void request_runner::stop(const std::string& attempt) {
  std::shared_ptr<detail::running_request> found;
  {
    const std::scoped_lock lock(this->mutex);
    const auto entry = this->running.find(attempt);
    if (entry == this->running.end()) return;
    found = entry->second;
  }
  found->stop();
}

}  // namespace boragehill::engine
