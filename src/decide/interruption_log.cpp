#include "decide/interruption_log.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Stored of one server.
constexpr std::size_t max_requests = 256;
constexpr std::size_t max_parts = 256;

}  // namespace

void interruption_log::add(const std::string& server,
                           const std::string& request,
                           const std::vector<std::string>& parts,
                           time_point now) {
  this->drop_expired(now);
  auto& known = this->entry_of(server, now);
  known.reported = false;
  auto& requests = known.found.requests;
  const bool listed =
      std::find(requests.begin(), requests.end(), request) != requests.end();
  if (!listed && !request.empty() && requests.size() < max_requests) {
    requests.push_back(request);
  }
  for (const auto& each : interruption_of(server, parts).parts) {
    if (known.found.parts.size() >= max_parts) break;
    known.found.parts.insert(each);
  }
}

std::vector<interruption> interruption_log::take_unreported(time_point now) {
  std::vector<interruption> taken;
  for (auto& each : this->entries) {
    if (each.reported) continue;
    each.reported = true;
    taken.push_back(each.found);
    taken.back().age = milliseconds(ms_between(each.at, now));
  }
  return taken;
}

void interruption_log::report_again() {
  for (auto& each : this->entries) each.reported = false;
}

interruption_log::entry& interruption_log::entry_of(const std::string& server,
                                                    time_point now) {
  const auto found = std::find_if(
      this->entries.begin(), this->entries.end(),
      [&server](const entry& each) { return each.found.server == server; });
  if (found != this->entries.end()) return *found;
  if (this->entries.size() >= max_interruptions) this->entries.pop_front();
  this->entries.push_back({.at = now, .found = {.server = server}});
  return this->entries.back();
}

void interruption_log::drop_expired(time_point now) {
  while (!this->entries.empty() && now - this->entries.front().at > retention) {
    this->entries.pop_front();
  }
}

}  // namespace boragehill::decide
