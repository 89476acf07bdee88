#ifndef BORAGEHILL_KERNEL_SETTINGS_SECTION_HPP
#define BORAGEHILL_KERNEL_SETTINGS_SECTION_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boragehill/endpoint.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::kernel {

namespace detail {
class settings_state;
}

/// One table of a settings file. Every read names a key; a key without a
/// fallback must be there. Nothing throws: a failure is collected for
/// `settings_document::finish()` and a dummy value comes back.
///
///     auto listen = section.address("listen", std::nullopt);
///     auto wait = section.duration("wait_ms", milliseconds(500),
///                                  milliseconds(1), milliseconds(60000));
class settings_section {
 public:
  /// For `settings_document` only.
  settings_section(std::shared_ptr<detail::settings_state> state,
                   std::size_t index);

  /// \return The section's name, as "router" or "store.limits".
  const std::string& name() const;

  /// \return False for a section that the file doesn't have.
  bool present() const;

  /// \return True if the section holds the key; doesn't count as a read.
  bool has(std::string_view key) const;

  /// Reads a string.
  std::string text(std::string_view key,
                   const std::optional<std::string>& fallback);

  /// Reads an integer within [min, max].
  std::int64_t number(std::string_view key,
                      std::optional<std::int64_t> fallback, std::int64_t min,
                      std::int64_t max);

  /// Reads whole milliseconds within [min, max]; the key ends in `_ms`.
  milliseconds duration(std::string_view key,
                        std::optional<milliseconds> fallback, milliseconds min,
                        milliseconds max);

  /// Reads a finite number within [min, max]; integers are taken too.
  double real(std::string_view key, std::optional<double> fallback, double min,
              double max);

  /// Reads true or false.
  bool flag(std::string_view key, std::optional<bool> fallback);

  /// Reads an "IP:port".
  endpoint address(std::string_view key,
                   const std::optional<endpoint>& fallback);

  /// Reads an array of strings.
  std::vector<std::string> texts(
      std::string_view key,
      const std::optional<std::vector<std::string>>& fallback);

  /// Collects a problem that the caller found with a key's value.
  void report(result_code code, std::string_view key, std::string message);

 private:
  std::shared_ptr<detail::settings_state> state;
  std::size_t index;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SETTINGS_SECTION_HPP
