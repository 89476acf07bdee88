#include "app/output.hpp"

#include <absl/flags/flag.h>
#include <algorithm>
#include <iostream>
#include <json/json.h>

namespace boragehill::app {

namespace {

enum class output_format { table, json };

// The names under which Abseil looks for a type's conversions.
// NOLINTBEGIN(readability-identifier-naming)
bool AbslParseFlag(absl::string_view text, output_format* format,
                   std::string* error) {
  *format = text == "json" ? output_format::json : output_format::table;
  if (text == "json" || text == "table") return true;
  *error = "it takes table or json";
  return false;
}

std::string AbslUnparseFlag(output_format format) {
  return format == output_format::json ? "json" : "table";
}
// NOLINTEND(readability-identifier-naming)

}  // namespace

}  // namespace boragehill::app

ABSL_FLAG(boragehill::app::output_format, output,
          boragehill::app::output_format::table,
          "table for people, json for scripts");

namespace boragehill::app {

bool wants_json() {
  return absl::GetFlag(FLAGS_output) == output_format::json;
}

void print_json(const Json::Value& json) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  std::cout << Json::writeString(builder, json) << "\n";
}

void print_table(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  constexpr std::size_t gap = 2;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      const bool last = i + 1 == row.size();
      if (!last) line.append(widths[i] - row[i].size() + gap, ' ');
    }
    std::cout << line << "\n";
  }
}

}  // namespace boragehill::app
