#include "agent/brain_link.hpp"

#include <thread>

namespace boragehill::agent {

namespace {

constexpr milliseconds between_tries{1};

}  // namespace

brain_link::brain_link(std::function<bool(brain_message)> post,
                       std::function<bool()> stopped)
    : post(std::move(post)), stopped(std::move(stopped)) {}

bool brain_link::tell(brain_message message) const {
  return this->post(std::move(message));
}

void brain_link::tell_surely(const brain_message& message) const {
  while (!this->post(message)) {
    if (this->stopped()) return;
    std::this_thread::sleep_for(between_tries);
  }
}

}  // namespace boragehill::agent
