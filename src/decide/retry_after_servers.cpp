#include "decide/retry_after_servers.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

bool retry_after_servers::on_retry_after(const std::string& server,
                                         time_point until, time_point now) {
  const bool in_period = this->until(server, now).has_value();
  auto& entry = this->periods[server];
  if (!in_period) entry = {.end = until};
  entry.end = std::max(entry.end, until);
  return !in_period;
}

std::optional<time_point> retry_after_servers::until(const std::string& server,
                                                     time_point now) const {
  const auto found = this->periods.find(server);
  if (found == this->periods.end() || now >= found->second.end) {
    return std::nullopt;
  }
  return found->second.end;
}

bool retry_after_servers::claim_probe(const std::string& server,
                                      time_point now) {
  if (!this->until(server, now)) return true;
  return !std::exchange(this->periods.at(server).is_probed, true);
}

bool retry_after_servers::drop_expired(time_point now) {
  return std::erase_if(this->periods, [now](const auto& entry) {
           return now >= entry.second.end;
         }) > 0;
}

}  // namespace boragehill::decide
