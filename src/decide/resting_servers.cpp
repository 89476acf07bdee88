#include "decide/resting_servers.hpp"

#include <algorithm>

namespace boragehill::decide {

bool resting_servers::on_asked(const std::string& server, time_point until,
                               time_point now) {
  const bool rested = this->until(server, now).has_value();
  auto& end = this->ends[server];
  end = rested ? std::max(end, until) : until;
  return !rested;
}

std::optional<time_point> resting_servers::until(const std::string& server,
                                                 time_point now) const {
  const auto found = this->ends.find(server);
  if (found == this->ends.end() || now >= found->second) return std::nullopt;
  return found->second;
}

bool resting_servers::drop_ended(time_point now) {
  return std::erase_if(this->ends, [now](const auto& each) {
           return now >= each.second;
         }) > 0;
}

}  // namespace boragehill::decide
