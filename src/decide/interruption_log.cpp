#include "decide/interruption_log.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Stored of one server.
constexpr std::size_t max_requests = 256;
constexpr std::size_t max_parts = 256;

void add_request(sighting_map& requests, const std::string& request,
                 const suspect_sighting& seen) {
  const auto known = requests.find(request);
  if (known != requests.end()) {
    known->second.ran = std::max(known->second.ran, seen.ran);
    known->second.runs += seen.runs;
  } else if (requests.size() < max_requests) {
    requests.emplace(request, seen);
  }
}

}  // namespace

void interruption_log::add(const std::string& server,
                           const std::string& request,
                           const suspect_sighting& run,
                           const std::vector<std::string>& parts,
                           time_point now) {
  this->drop_expired(now);
  auto& known = this->entry_of(server, now);
  known.reported = false;
  const milliseconds delay(ms_between(known.at, now));
  add_request(known.found.requests, request,
              {.ran = run.ran, .delay = delay, .runs = run.runs});
  for (const auto& each : sightings_of(parts)) {
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
