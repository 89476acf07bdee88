#include "decide/trial_permits.hpp"

namespace boragehill::decide {

void trial_permits::on_granted(const std::vector<std::string>& suspects,
                               time_point now) {
  for (const auto& each : suspects) this->permits.insert_or_assign(each, now);
}

void trial_permits::on_sent(const std::string& suspect, time_point now) {
  std::erase_if(this->permits, [now](const auto& each) {
    return now - each.second > lifetime;
  });
  std::erase_if(this->sent, [now](const auto& each) {
    return now - each.second >= trial_grants::interval;
  });
  this->permits.erase(suspect);
  this->sent.insert_or_assign(suspect, now);
}

bool trial_permits::may_send(const std::string& suspect, bool planned,
                             time_point now) const {
  if (!planned) {
    const auto last = this->sent.find(suspect);
    return last == this->sent.end() ||
           now - last->second >= trial_grants::interval;
  }
  const auto permit = this->permits.find(suspect);
  return permit != this->permits.end() && now - permit->second <= lifetime;
}

}  // namespace boragehill::decide
