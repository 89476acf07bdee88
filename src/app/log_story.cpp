#include "app/log_story.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <set>

namespace boragehill::app {

namespace {

/// Clocks of VMs differ by this much, and a cause may lie a little before.
constexpr std::int64_t margin_ms = 2000;

/// Events that change what a router or an agent knows, whatever the request.
const std::set<std::string>& surroundings() {
  static const std::set<std::string> names{
      "process_started", "process_ready",         "process_stopping",
      "process_stopped", "platform_outage_began", "platform_outage_ended",
      "planner_leads",   "planner_lost",          "planner_replaced",
      "lines_left_out"};
  return names;
}

bool names_request(const log_line& line, const std::string& request) {
  return line.field("request") == request || line.field("attempt") == request;
}

std::int64_t number_of(const std::string& text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// What a request's own lines say of it.
struct subject {
  std::int64_t begin = 0;
  std::int64_t end = 0;
  std::set<std::string> servers;
  std::set<std::string> models;

  void add(const log_line& line) {
    // The line of its end tells how long it took.
    const auto began = line.time_ms - number_of(line.field("all_ms"));
    if (this->end == 0 || began < this->begin) this->begin = began;
    this->end = std::max(this->end, line.time_ms);
    if (!line.field("server").empty()) {
      this->servers.insert(line.field("server"));
    }
    if (!line.field("model").empty()) this->models.insert(line.field("model"));
  }

  bool covers(std::int64_t time) const {
    return time >= this->begin - margin_ms && time <= this->end + margin_ms;
  }
};

bool concerns(const log_line& line, const subject& about) {
  if (!about.covers(line.time_ms)) return false;
  if (surroundings().contains(line.name)) return true;
  // Other requests' lines aren't part of this one's story.
  if (line.fields.contains("request")) return false;
  const bool is_plan = line.name == "residency_decided" ||
                       line.name == "load_ordered" ||
                       line.name == "unload_ordered";
  if (is_plan) return about.models.contains(line.field("model"));
  return about.servers.contains(line.field("server"));
}

}  // namespace

std::vector<log_line> story_of(const std::vector<log_line>& lines,
                               const std::string& request) {
  subject about;
  for (const auto& line : lines) {
    if (names_request(line, request)) about.add(line);
  }
  std::vector<log_line> story;
  if (about.end == 0) return story;
  for (const auto& line : lines) {
    if (names_request(line, request) || concerns(line, about)) {
      story.push_back(line);
    }
  }
  std::stable_sort(story.begin(), story.end(),
                   [](const log_line& left, const log_line& right) {
                     return left.time_ms < right.time_ms;
                   });
  return story;
}

}  // namespace boragehill::app
