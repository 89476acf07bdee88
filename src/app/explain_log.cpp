#include "app/explain_log.hpp"

#include <iostream>
#include <vector>

#include "app/log_file.hpp"
#include "app/log_line.hpp"
#include "app/log_story.hpp"
#include "app/output.hpp"

namespace boragehill::app {

namespace {

std::string fields_of(const log_line& line) {
  std::string text;
  for (const auto& [key, value] : line.fields) {
    if (!text.empty()) text += ' ';
    text += key;
    text += '=';
    text += value;
  }
  return text;
}

Json::Value json_of(const log_line& line) {
  Json::Value value;
  value["time_ms"] = Json::Int64(line.time_ms);
  value["source"] = line.source;
  value["event"] = line.name;
  for (const auto& [key, text] : line.fields) value["fields"][key] = text;
  return value;
}

void print_story(const std::vector<log_line>& story) {
  if (wants_json()) {
    Json::Value list(Json::arrayValue);
    for (const auto& each : story) list.append(json_of(each));
    return print_json(list);
  }
  std::vector<std::vector<std::string>> rows{
      {"TIME_MS", "SOURCE", "EVENT", "FIELDS"}};
  for (const auto& each : story) {
    rows.push_back({std::to_string(each.time_ms - story.front().time_ms),
                    each.source, each.name, fields_of(each)});
  }
  print_table(rows);
}

}  // namespace

exit_code explain_from_log(const std::string& request) {
  const auto lines = read_log();
  if (!lines) return exit_code::usage;
  const auto story = story_of(*lines, request);
  if (story.empty()) {
    std::cerr << "boragehill: no line of " << lines->size() << " names "
              << request << "\n";
    return exit_code::failed;
  }
  print_story(story);
  return exit_code::ok;
}

}  // namespace boragehill::app
