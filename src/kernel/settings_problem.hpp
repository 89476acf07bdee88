#ifndef BORAGEHILL_KERNEL_SETTINGS_PROBLEM_HPP
#define BORAGEHILL_KERNEL_SETTINGS_PROBLEM_HPP

#include <cstdint>
#include <string>

#include <boragehill/result_code.hpp>

namespace boragehill::kernel {

/// One thing wrong with a settings file. `line` counts from 1; 0 means that
/// the place has no line (a missing section, the command line).
struct settings_problem {
  result_code code = result_code::settings_unreadable;
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string message;

  bool operator==(const settings_problem&) const = default;

  /// \return "file:line: key: message (8004 settings_out_of_range)".
  std::string to_string() const;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SETTINGS_PROBLEM_HPP
