#include "serve/server_health.hpp"

#include <algorithm>

namespace boragehill::serve {

namespace {

/// About the time in which a crashed server is back or off the list.
constexpr milliseconds first_doubt{800};
constexpr int most_doublings = 2;
/// After so long without a failure it counts as the first again.
constexpr milliseconds forgiven_after{5000};

}  // namespace

void server_health::on_failure(const std::string& server, time_point now) {
  auto& state = this->failures[server];
  if (now > state.until + forgiven_after) state.count = 0;
  const int doublings = std::min(state.count, most_doublings);
  ++state.count;
  state.until = now + first_doubt * (1 << doublings);
}

bool server_health::suspect(const std::string& server, time_point now) const {
  const auto found = this->failures.find(server);
  return found != this->failures.end() && now < found->second.until;
}

}  // namespace boragehill::serve
