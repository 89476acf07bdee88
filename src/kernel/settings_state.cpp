#include "kernel/settings_state.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::kernel::detail {

namespace {

constexpr std::string_view command_line = "command line";

/// Walks a dotted name down from a table.
const toml::node* find_node(const toml::table& root, std::string_view name) {
  const toml::node* node = &root;
  while (!name.empty() && node) {
    const std::size_t dot = name.find('.');
    const toml::table* table = node->as_table();
    node = table ? table->get(name.substr(0, dot)) : nullptr;
    if (dot == std::string_view::npos) break;
    name.remove_prefix(dot + 1);
  }
  return node;
}

/// Walks a dotted name, adding the tables that are missing.
/// \return Null if something other than a table is in the way.
toml::table* make_table(toml::table& root, std::string_view name) {
  toml::table* table = &root;
  while (!name.empty()) {
    const std::size_t dot = name.find('.');
    const std::string_view part = name.substr(0, dot);
    if (!table->contains(part)) table->insert(part, toml::table{});
    table = table->get(part)->as_table();
    if (!table || dot == std::string_view::npos) return table;
    name.remove_prefix(dot + 1);
  }
  return table;
}

/// Reads a value as TOML. What isn't TOML, as 10.1.2.3:7101, is a string.
toml::table parse_value(const std::string& text) {
  try {
    toml::table parsed = toml::parse("value = " + text);
    if (parsed.size() == 1) return parsed;
  } catch (const toml::parse_error&) {
    // Falls through to the plain string.
  }
  return toml::table{{"value", text}};
}

}  // namespace

std::string joined(std::string_view section, std::string_view key) {
  if (section.empty()) return std::string(key);
  return std::string(section) + '.' + std::string(key);
}

void settings_state::parse(std::string_view text) {
  try {
    this->root = toml::parse(text, this->file);
  } catch (const toml::parse_error& error) {
    this->fail(error.source().begin.line, std::string(error.description()));
  }
}

void settings_state::fail(std::uint32_t line, std::string message) {
  this->add(result_code::settings_unreadable, "", line, std::move(message));
  this->unreadable = true;
}

void settings_state::override_value(std::string_view assignment) {
  const std::size_t equals = assignment.find('=');
  const std::string_view path = assignment.substr(0, equals);
  const std::size_t dot = path.rfind('.');
  const bool whole = equals != std::string_view::npos && !path.empty() &&
                     path.back() != '.' && path.front() != '.';
  const std::string_view section =
      dot == std::string_view::npos ? "" : path.substr(0, dot);
  toml::table* table = whole ? make_table(this->root, section) : nullptr;
  if (!table) {
    this->problems.push_back({.code = result_code::settings_wrong_type,
                              .file = std::string(command_line),
                              .line = 0,
                              .key = std::string(path),
                              .message = "expected section.key=value"});
    return;
  }
  std::string text(assignment.substr(equals + 1));
  const toml::table parsed = parse_value(text);
  const std::string_view key = path.substr(section.empty() ? 0 : dot + 1);
  table->insert_or_assign(key, *parsed.get("value"));
  this->overrides.insert_or_assign(std::string(path), std::move(text));
}

std::size_t settings_state::open(std::string_view name) {
  const auto known = std::find_if(
      this->opened.begin(), this->opened.end(),
      [name](const opened_table& each) { return each.name == name; });
  if (known != this->opened.end()) return known - this->opened.begin();
  const toml::node* node = find_node(this->root, name);
  if (node && !node->is_table()) {
    this->add(result_code::settings_wrong_type, std::string(name),
              node->source().begin.line, "expected a section");
  }
  return this->remember(std::string(name), node ? node->as_table() : nullptr);
}

std::vector<std::size_t> settings_state::open_all(std::string_view name) {
  const toml::node* node = find_node(this->root, name);
  if (!node) return {};
  const toml::array* array = node->as_array();
  const bool tables =
      array && std::all_of(array->begin(), array->end(),
                           [](const auto& each) { return each.is_table(); });
  if (!tables) {
    this->add(result_code::settings_wrong_type, std::string(name),
              node->source().begin.line, "expected an array of tables");
    return {};
  }
  std::vector<std::size_t> indices;
  for (const toml::node& each : *array) {
    std::string label(name);
    label += '[' + std::to_string(indices.size()) + ']';
    indices.push_back(this->remember(std::move(label), each.as_table()));
  }
  return indices;
}

const toml::node* settings_state::read(std::size_t index,
                                       std::string_view key) {
  opened_table& from = this->opened[index];
  from.read_keys.emplace(key);
  return from.table ? from.table->get(key) : nullptr;
}

const std::string* settings_state::override_of(std::size_t index,
                                               std::string_view key) const {
  const auto found = this->overrides.find(joined(this->at(index).name, key));
  return found == this->overrides.end() ? nullptr : &found->second;
}

void settings_state::report(std::size_t index, std::string_view key,
                            result_code code, std::string message) {
  const opened_table& from = this->at(index);
  const toml::node* node = from.table ? from.table->get(key) : nullptr;
  std::uint32_t line = 0;
  if (from.table) line = from.table->source().begin.line;
  if (node) line = node->source().begin.line;
  this->add(code, joined(from.name, key), line, std::move(message));
}

std::vector<settings_problem> settings_state::finish() {
  // A file that can't be parsed lacks every key; naming those would hide the
  // one line to mend.
  if (!this->unreadable) {
    this->check_unread(this->root, "");
    return this->problems;
  }
  const auto first = std::find_if(
      this->problems.begin(), this->problems.end(), [](const auto& each) {
        return each.code == result_code::settings_unreadable;
      });
  return {*first};
}

std::size_t settings_state::remember(std::string name,
                                     const toml::table* table) {
  this->opened.push_back(
      {.name = std::move(name), .table = table, .read_keys = {}});
  return this->opened.size() - 1;
}

const settings_state::opened_table* settings_state::find(
    const toml::table& table) const {
  const auto found = std::find_if(
      this->opened.begin(), this->opened.end(),
      [&table](const opened_table& each) { return each.table == &table; });
  return found == this->opened.end() ? nullptr : &*found;
}

bool settings_state::holds_opened(const toml::node& node) const {
  if (const toml::table* table = node.as_table()) {
    return this->find(*table) ||
           std::any_of(table->begin(), table->end(), [this](const auto& each) {
             return this->holds_opened(each.second);
           });
  }
  const toml::array* array = node.as_array();
  return array && std::any_of(array->begin(), array->end(),
                              [this](const toml::node& each) {
                                return this->holds_opened(each);
                              });
}

void settings_state::check_unread(const toml::table& table,
                                  const std::string& prefix) {
  const opened_table* known = this->find(table);
  for (const auto& [key, node] : table) {
    if (known && known->read_keys.contains(key.str())) continue;
    this->check_unread_node(node, joined(prefix, key.str()));
  }
}

void settings_state::check_unread_node(const toml::node& node,
                                       const std::string& path) {
  if (!this->holds_opened(node)) {
    const bool section = node.is_table() || node.is_array_of_tables();
    this->add(result_code::settings_unknown_key, path, node.source().begin.line,
              section ? "unknown section" : "unknown key");
    return;
  }
  if (const toml::table* table = node.as_table()) {
    this->check_unread(*table, path);
    return;
  }
  std::size_t position = 0;
  for (const toml::node& each : *node.as_array()) {
    this->check_unread(*each.as_table(),
                       path + '[' + std::to_string(position++) + ']');
  }
}

void settings_state::add(result_code code, const std::string& path,
                         std::uint32_t line, std::string message) {
  const bool outside = this->overrides.contains(path);
  this->problems.push_back(
      {.code = code,
       .file = outside ? std::string(command_line) : this->file,
       .line = outside ? 0 : line,
       .key = path,
       .message = std::move(message)});
}

}  // namespace boragehill::kernel::detail
