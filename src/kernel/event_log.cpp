#include "kernel/event_log.hpp"

#include <algorithm>
#include <glog/logging.h>
#include <mutex>
#include <string_view>

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

}  // namespace

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
  const std::string line = format_event(which, fields);
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
