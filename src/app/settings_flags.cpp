#include "app/settings_flags.hpp"

#include <absl/flags/flag.h>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, settings, "", "TOML settings file");
ABSL_FLAG(std::vector<std::string>, set, {},
          "overrides of the settings file, as section.key=value,...");

namespace boragehill::app {

kernel::settings_document read_settings_file() {
  auto document =
      kernel::settings_document::read_file(absl::GetFlag(FLAGS_settings));
  for (const auto& assignment : absl::GetFlag(FLAGS_set)) {
    document.override_value(assignment);
  }
  return document;
}

bool report_problems(const std::vector<kernel::settings_problem>& problems) {
  if (absl::GetFlag(FLAGS_settings).empty()) {
    std::cerr << "boragehill: --settings is missing; it takes a TOML file\n";
    return false;
  }
  for (const auto& problem : problems) {
    std::cerr << "boragehill: " << problem.to_string() << "\n";
  }
  return problems.empty();
}

}  // namespace boragehill::app
