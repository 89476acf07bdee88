#ifndef BORAGEHILL_KERNEL_SETTINGS_STATE_HPP
#define BORAGEHILL_KERNEL_SETTINGS_STATE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

#include "kernel/settings_problem.hpp"

namespace boragehill::kernel::detail {

/// What a document and its sections share: the parsed text, what was read of
/// it, and the problems so far.
class settings_state {
 public:
  explicit settings_state(std::string file) : file(std::move(file)) {}

  /// A table that was opened for reading; null stands for a missing one.
  struct opened_table {
    std::string name;
    const toml::table* table = nullptr;
    std::set<std::string, std::less<>> read_keys;
  };

  /// Parses the text, or notes why it can't be.
  void parse(std::string_view text);

  /// Notes that the file can't be read at all.
  void fail(std::uint32_t line, std::string message);

  /// Sets a value from outside of the file.
  void override_value(std::string_view assignment);

  /// \return The index of the table; the same one for the same name.
  std::size_t open(std::string_view name);

  /// \return The indices of an array's tables.
  std::vector<std::size_t> open_all(std::string_view name);

  const opened_table& at(std::size_t index) const {
    return this->opened[index];
  }

  /// \return The key's node or null, and marks the key as read.
  const toml::node* read(std::size_t index, std::string_view key);

  /// \return The text given from outside of the file, or null.
  const std::string* override_of(std::size_t index, std::string_view key) const;

  /// Notes a problem with a key of a table.
  void report(std::size_t index, std::string_view key, result_code code,
              std::string message);

  /// \return All problems, with those for keys that nothing read.
  std::vector<settings_problem> finish();

 private:
  std::size_t remember(std::string name, const toml::table* table);
  const opened_table* find(const toml::table& table) const;
  bool holds_opened(const toml::node& node) const;
  void check_unread(const toml::table& table, const std::string& prefix);
  void check_unread_node(const toml::node& node, const std::string& path);
  void add(result_code code, const std::string& path, std::uint32_t line,
           std::string message);

  std::string file;
  toml::table root;
  std::vector<opened_table> opened;
  std::map<std::string, std::string, std::less<>> overrides;
  std::vector<settings_problem> problems;
  bool unreadable = false;
};

/// \return "section.key", or the key alone at the top.
std::string joined(std::string_view section, std::string_view key);

}  // namespace boragehill::kernel::detail

#endif  // BORAGEHILL_KERNEL_SETTINGS_STATE_HPP
