#ifndef BORAGEHILL_KERNEL_SETTINGS_DOCUMENT_HPP
#define BORAGEHILL_KERNEL_SETTINGS_DOCUMENT_HPP

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/settings_problem.hpp"
#include "kernel/settings_section.hpp"

namespace boragehill::kernel {

/// A TOML document behind a checked reader: all its problems are collected
/// and come out together, each with file, line and key.
///
///     auto document = settings_document::read_file("router.toml");
///     document.override_value("router.listen=10.1.2.3:7101");
///     auto listen = document.section("router").address("listen", {});
///     for (const auto& problem : document.finish()) show(problem);
class settings_document {
 public:
  /// Reads a file. If that fails, `finish()` returns the one problem.
  static settings_document read_file(const std::string& path);

  /// Parses a text.
  /// \param text The TOML text.
  /// \param file The name that problems show.
  static settings_document parse(std::string_view text, std::string file);

  /// Sets a value before it is read, as the command line does.
  /// \param assignment "section.key=value"; the value is TOML, or else text.
  void override_value(std::string_view assignment);

  /// \return A section by its dotted name ("" is the top); an empty one if
  ///     the document has none.
  settings_section section(std::string_view name);

  /// \return The elements of an array of tables, in order.
  std::vector<settings_section> sections(std::string_view name);

  /// Ends the reading.
  /// \return All problems, among them each key and section not read.
  std::vector<settings_problem> finish();

 private:
  explicit settings_document(std::shared_ptr<detail::settings_state> state);

  std::shared_ptr<detail::settings_state> state;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SETTINGS_DOCUMENT_HPP
