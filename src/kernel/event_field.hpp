#ifndef BORAGEHILL_KERNEL_EVENT_FIELD_HPP
#define BORAGEHILL_KERNEL_EVENT_FIELD_HPP

#include <concepts>
#include <string>
#include <string_view>
#include <system_error>

namespace boragehill::kernel {

/// One key and value of a log event, held as text.
class event_field {
 public:
  event_field(std::string_view key, std::string_view value)
      : key(key), value(value) {}

  event_field(std::string_view key, const char* value)
      : key(key), value(value) {}

  event_field(std::string_view key, bool value)
      : key(key), value(value ? "true" : "false") {}

  template <std::integral Integer>
  event_field(std::string_view key, Integer value)
      : key(key), value(std::to_string(value)) {}

  event_field(std::string_view key, double value)
      : key(key), value(std::to_string(value)) {}

  /// Shows as "number:message", as "2001:queue_full".
  event_field(std::string_view key, const std::error_code& value)
      : key(key),
        value(std::to_string(value.value()) + ":" + value.message()) {}

  std::string key;
  std::string value;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_EVENT_FIELD_HPP
