#ifndef BORAGEHILL_KERNEL_SPAN_RECORD_HPP
#define BORAGEHILL_KERNEL_SPAN_RECORD_HPP

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace boragehill::kernel {

/// A finished span. Times in microseconds; the start since the Unix epoch.
struct span_record {
  std::string trace_id;
  std::string span_id;
  /// Empty for the first span of a trace.
  std::string parent_id;
  std::string name;
  std::int64_t start_us = 0;
  std::int64_t duration_us = 0;
  std::vector<std::pair<std::string, std::string>> tags;

  bool operator==(const span_record&) const = default;

  /// \return One line of JSON, without the line end.
  std::string to_json() const;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SPAN_RECORD_HPP
