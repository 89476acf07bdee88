#include "app/log_file.hpp"

#include <absl/flags/flag.h>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>

// NOLINTNEXTLINE(readability-identifier-naming)
ABSL_FLAG(std::string, log, "",
          "file with the logs of all processes, one after the other or mixed; "
          "- for standard input");

namespace boragehill::app {

namespace {

std::vector<log_line> read_lines(std::istream& stream) {
  std::vector<log_line> lines;
  std::string text;
  while (std::getline(stream, text)) {
    if (auto line = parse_log_line(text)) lines.push_back(std::move(*line));
  }
  return lines;
}

}  // namespace

bool wants_log() {
  return !absl::GetFlag(FLAGS_log).empty();
}

std::optional<std::vector<log_line>> read_log() {
  const std::string path = absl::GetFlag(FLAGS_log);
  if (path == "-") return read_lines(std::cin);
  std::ifstream file(path);
  if (!file) {
    std::cerr << "boragehill: can't read " << path << "\n";
    return std::nullopt;
  }
  return read_lines(file);
}

}  // namespace boragehill::app
