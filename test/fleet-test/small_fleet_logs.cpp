// What the logs of a small fleet's processes tell.

#include <filesystem>
#include <fstream>
#include <sstream>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {

using std::chrono::milliseconds;

std::string small_fleet::keep_logs(const std::string& name) const {
  auto kept = this->folder + "-" + name;
  std::filesystem::copy(this->folder, kept,
                        std::filesystem::copy_options::overwrite_existing |
                            std::filesystem::copy_options::recursive);
  return kept;
}

std::vector<invariants::service_event> small_fleet::logged(
    const std::string& what) const {
  std::vector<invariants::service_event> events;
  for (const auto& each : std::filesystem::directory_iterator(this->folder)) {
    std::ifstream log(each.path());
    std::string line;
    while (std::getline(log, line)) {
      if (!line.starts_with(what + " ")) continue;
      std::istringstream fields(line.substr(what.size() + 1));
      invariants::service_event event;
      std::int64_t at_ms = 0;
      if (!(fields >> event.attempt >> at_ms >> event.service)) continue;
      fields >> event.software;
      std::int64_t left_ms = 0;
      if (fields >> left_ms) event.time_left = milliseconds(left_ms);
      event.at = time_point(milliseconds(at_ms));
      events.push_back(std::move(event));
    }
  }
  return events;
}

std::vector<invariants::service_event> small_fleet::logged_runs() const {
  return this->logged("ran");
}

std::vector<invariants::service_event> small_fleet::logged_arrivals() const {
  return this->logged("arrived");
}

std::vector<invariants::service_event> small_fleet::logged_crashes() const {
  return this->logged("crashed");
}

std::map<std::string, int> small_fleet::all_runs() const {
  std::map<std::string, int> runs;
  for (const auto& each : this->logged_runs()) ++runs[each.attempt];
  return runs;
}

std::map<std::string, std::set<std::string>> small_fleet::event_writers()
    const {
  std::map<std::string, std::set<std::string>> writers;
  for (const auto& each : this->logged("began")) {
    writers[each.attempt].insert(each.software);
  }
  return writers;
}

}  // namespace boragehill::fleet_test
