#include "kernel/event_log.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <glog/logging.h>
#include <memory>
#include <mutex>
#include <string_view>
#include <unistd.h>
#include <utility>

#include "kernel/line_writer.hpp"
#include "kernel/text_escape.hpp"

namespace boragehill::kernel {

namespace {

constexpr std::size_t longest_value = 256;

bool needs_quotes(std::string_view text) {
  if (text.empty()) return true;
  return std::any_of(text.begin(), text.end(), [](char letter) {
    return letter == ' ' || letter == '"' || letter == '=' || letter == '\\';
  });
}

std::string shown(std::string_view value) {
  const std::string_view kept = value.substr(0, longest_value);
  std::string escaped = detail::escape_text(kept);
  if (!needs_quotes(escaped)) return escaped;
  return '"' + escaped + '"';
}

/// Kept to the end of the process: threads may log until then.
std::atomic<line_writer*> output{nullptr};

/// Milliseconds of the day's clock, for comparison with other processes.
std::string time_text() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string_view name_of(severity level) {
  switch (level) {
    case severity::info:
      return "info";
    case severity::warning:
      return "warning";
    case severity::error:
      return "error";
  }
  return "error";
}

}  // namespace

void log_to_standard_output() {
  static line_writer writer(STDOUT_FILENO);
  output = &writer;
}

std::uint64_t dropped_lines() {
  const auto* writer = output.load();
  return writer ? writer->dropped() : 0;
}

void start_event_log(const std::string& program, bool to_stderr) {
  static std::once_flag started;
  std::call_once(started, [&] {
    // glog keeps the pointer, so the name must live as long as the process.
    static const std::string kept_name = program;
    FLAGS_logtostderr = to_stderr;
    google::InitGoogleLogging(kept_name.c_str());
  });
}

std::string format_event(event which,
                         std::initializer_list<event_field> fields) {
  std::string line = "event=" + std::to_string(static_cast<int>(which));
  line += " name=";
  line += name_of(which);
  for (const event_field& field : fields) {
    line += ' ' + field.key + '=' + shown(field.value);
  }
  return line;
}

void log_event(event which, std::initializer_list<event_field> fields) {
  std::string line = format_event(which, fields);
  if (auto* writer = output.load()) {
    const auto level = severity_of(which);
    line = "time_ms=" + time_text() + " level=" + std::string(name_of(level)) +
           ' ' + line;
    writer->write(std::move(line), level == severity::info);
    return;
  }
  switch (severity_of(which)) {
    case severity::info:
      LOG(INFO) << line;
      return;
    case severity::warning:
      LOG(WARNING) << line;
      return;
    case severity::error:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace boragehill::kernel
