#include "decide/resting_servers.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

bool resting_servers::on_asked(const std::string& server, time_point until,
                               time_point now) {
  const bool rested = this->until(server, now).has_value();
  auto& known = this->rests[server];
  if (!rested) known = {.end = until};
  known.end = std::max(known.end, until);
  return !rested;
}

std::optional<time_point> resting_servers::until(const std::string& server,
                                                 time_point now) const {
  const auto found = this->rests.find(server);
  if (found == this->rests.end() || now >= found->second.end) {
    return std::nullopt;
  }
  return found->second.end;
}

bool resting_servers::take_question(const std::string& server, time_point now) {
  if (!this->until(server, now)) return true;
  return !std::exchange(this->rests.at(server).asked, true);
}

bool resting_servers::drop_ended(time_point now) {
  return std::erase_if(this->rests, [now](const auto& each) {
           return now >= each.second.end;
         }) > 0;
}

}  // namespace boragehill::decide
