#include <array>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <sstream>

#include <boragehill/result_code.hpp>

#include "agent/agent_settings.hpp"
#include "kernel/event.hpp"
#include "kernel/settings_document.hpp"
#include "router/profile_toml.hpp"
#include "router/router_settings.hpp"
#include "serve/entry_settings.hpp"
#include "sidecar/sidecar_settings.hpp"

namespace boragehill {
namespace {

using row = std::vector<std::string>;

std::string read_page(const std::string& name) {
  const std::ifstream file(std::string(BORAGEHILL_SOURCE) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string trim(const std::string& text) {
  const auto begin = text.find_first_not_of(" `");
  if (begin == std::string::npos) return {};
  return text.substr(begin, text.find_last_not_of(" `") - begin + 1);
}

/// The cells of each table row below a heading, up to the next heading of any
/// level; of the whole page if no heading is given.
std::vector<row> tables_of(const std::string& page,
                           const std::string& heading = {}) {
  std::vector<row> rows;
  std::istringstream lines(read_page(page));
  bool inside = heading.empty();
  for (std::string line; std::getline(lines, line);) {
    if (!heading.empty() && line.starts_with("#")) inside = line == heading;
    if (!inside || !line.starts_with("|") || line.starts_with("|-")) continue;
    row cells;
    std::istringstream rest(line.substr(1));
    for (std::string cell; std::getline(rest, cell, '|');) {
      cells.push_back(trim(cell));
    }
    rows.push_back(cells);
  }
  return rows;
}

/// The rows whose first cell is a number, by that number.
std::map<int, row> numbered_rows(const std::string& page) {
  std::map<int, row> found;
  for (const auto& cells : tables_of(page)) {
    const bool numbered =
        cells.front().find_first_not_of("0123456789") == std::string::npos;
    if (!numbered) continue;
    const bool added = found.emplace(std::stoi(cells.front()), cells).second;
    EXPECT_TRUE(added) << cells.front() << " stands twice in " << page;
  }
  return found;
}

void expect_full(const row& cells, std::size_t columns) {
  ASSERT_EQ(cells.size(), columns) << cells.front();
  for (const auto& cell : cells) EXPECT_FALSE(cell.empty()) << cells.front();
}

TEST(docs_test, errors_page_lists_every_result_code_as_the_code_has_it) {
  const auto rows = numbered_rows("docs/ERRORS.md");
  EXPECT_EQ(rows.size(), all_result_codes().size());
  for (const auto code : all_result_codes()) {
    const auto found = rows.find(static_cast<int>(code));
    ASSERT_NE(found, rows.end()) << name_of(code);
    expect_full(found->second, 5);
    EXPECT_EQ(found->second[1], name_of(code));
    EXPECT_EQ(found->second[2], std::to_string(http_status_of(code)));
  }
}

std::string_view text_of(kernel::severity level) {
  if (level == kernel::severity::info) return "info";
  return level == kernel::severity::warning ? "warning" : "error";
}

TEST(docs_test, events_page_lists_every_event_as_the_code_has_it) {
  const auto rows = numbered_rows("docs/EVENTS.md");
  EXPECT_EQ(rows.size(), kernel::all_events().size());
  for (const auto event : kernel::all_events()) {
    const auto found = rows.find(static_cast<int>(event));
    ASSERT_NE(found, rows.end()) << name_of(event);
    expect_full(found->second, 6);
    EXPECT_EQ(found->second[1], name_of(event));
    EXPECT_EQ(found->second[2], text_of(severity_of(event)));
  }
}

/// One documented settings key.
struct documented_key {
  std::string section;
  std::string key;
  std::string standard;
  std::string range;
};

std::vector<documented_key> keys_below(const std::string& heading) {
  std::vector<documented_key> keys;
  for (const auto& cells : tables_of("docs/OPERATIONS.md", heading)) {
    if (cells.front() == "key") continue;
    expect_full(cells, 5);
    const auto dot = cells[0].find('.');
    keys.push_back({cells[0].substr(0, dot), cells[0].substr(dot + 1), cells[2],
                    cells[3]});
  }
  return keys;
}

/// A value that the key takes: its default, or one that fits a required key.
std::string value_of(const documented_key& each) {
  if (each.standard != "required" && each.standard != "as above") {
    return each.standard;
  }
  if (each.range == "IP:port") return "\"10.1.2.3:7101\"";
  if (each.range == "text") return "\"some-text\"";
  return each.range.substr(0, each.range.find(' '));
}

/// A settings file that holds every documented key, but for one.
std::string file_of(const std::vector<documented_key>& keys,
                    const std::string& left_out = {}) {
  std::map<std::string, std::string> sections;
  for (const auto& each : keys) {
    std::string& body = sections[each.section];
    if (each.section + "." + each.key == left_out) continue;
    body += each.key + " = " + value_of(each) + "\n";
  }
  std::string text;
  for (const auto& [name, body] : sections) {
    text.append("[").append(name).append("]\n").append(body);
  }
  return text;
}

using problems = std::vector<kernel::settings_problem>;

std::string shown(const problems& found) {
  std::string text;
  for (const auto& each : found) text += each.to_string() + "\n";
  return text;
}

problems router_problems(const std::string& text) {
  auto document = kernel::settings_document::parse(text, "router.toml");
  (void)router::read_router_settings(document);
  return document.finish();
}

problems agent_problems(const std::string& text) {
  auto document = kernel::settings_document::parse(text, "agent.toml");
  (void)agent::read_agent_settings(document);
  return document.finish();
}

/// Checks the keys of a section against their reader: each is known, each
/// required one is missed, and each bound of a range is taken and one beyond it
/// refused.
template <class Check>
void expect_documented(const std::vector<documented_key>& keys, Check check) {
  const auto all = check(file_of(keys));
  EXPECT_TRUE(all.empty()) << shown(all);
  for (const auto& each : keys) {
    const std::string name = each.section + "." + each.key;
    const bool required = each.standard == "required";
    EXPECT_EQ(!check(file_of(keys, name)).empty(), required) << name;
    std::int64_t least = 0;
    std::int64_t most = 0;
    std::string to;
    std::istringstream range(each.range);
    if (!(range >> least >> to >> most)) continue;
    const auto with = [&](std::int64_t value) {
      const std::string assignment = each.key + " = " + std::to_string(value);
      auto text = file_of(keys, name);
      const std::string heading = "[" + each.section + "]\n";
      text.insert(text.find(heading) + heading.size(), assignment + "\n");
      return check(text);
    };
    EXPECT_TRUE(with(least).empty()) << name << shown(with(least));
    EXPECT_TRUE(with(most).empty()) << name << shown(with(most));
    EXPECT_FALSE(with(least - 1).empty()) << name;
    EXPECT_FALSE(with(most + 1).empty()) << name;
  }
}

problems entry_problems(const std::string& text) {
  auto document = kernel::settings_document::parse(text, "router.toml");
  (void)serve::read_entry_settings(document);
  return document.finish();
}

problems sidecar_problems(const std::string& text) {
  auto document = kernel::settings_document::parse(text, "agent.toml");
  (void)sidecar::read_sidecar_settings(document);
  return document.finish();
}

std::vector<documented_key> required_among(
    const std::vector<documented_key>& keys) {
  std::vector<documented_key> required;
  for (const auto& each : keys) {
    if (each.standard == "required") required.push_back(each);
  }
  return required;
}

TEST(docs_test, operations_page_lists_the_settings_on_a_store_of_rows) {
  const auto router = keys_below("### Settings of a router on a store of rows");
  ASSERT_FALSE(router.empty());
  expect_documented(router, entry_problems);
  auto written = kernel::settings_document::parse(file_of(router), "");
  auto bare =
      kernel::settings_document::parse(file_of(required_among(router)), "");
  EXPECT_EQ(serve::read_entry_settings(written),
            serve::read_entry_settings(bare));
  const auto agent = keys_below("### Settings of an agent on a store of rows");
  ASSERT_FALSE(agent.empty());
  expect_documented(agent, sidecar_problems);
  written = kernel::settings_document::parse(file_of(agent), "");
  bare = kernel::settings_document::parse(file_of(required_among(agent)), "");
  EXPECT_EQ(sidecar::read_sidecar_settings(written),
            sidecar::read_sidecar_settings(bare));
}

TEST(docs_test, operations_page_lists_the_routers_settings_as_they_are_read) {
  const auto keys = keys_below("### Settings of a router");
  expect_documented(keys, router_problems);
  auto written = kernel::settings_document::parse(file_of(keys), "");
  std::vector<documented_key> required;
  for (const auto& each : keys) {
    if (each.standard == "required") required.push_back(each);
  }
  auto bare = kernel::settings_document::parse(file_of(required), "");
  EXPECT_EQ(router::read_router_settings(written),
            router::read_router_settings(bare))
      << "a documented default is not the one in force";
}

TEST(docs_test, operations_page_lists_the_agents_settings_as_they_are_read) {
  const auto keys = keys_below("### Settings of an agent");
  expect_documented(keys, agent_problems);
  auto written = kernel::settings_document::parse(file_of(keys), "");
  std::vector<documented_key> required;
  for (const auto& each : keys) {
    if (each.standard == "required") required.push_back(each);
  }
  auto bare = kernel::settings_document::parse(file_of(required), "");
  EXPECT_EQ(agent::read_agent_settings(written),
            agent::read_agent_settings(bare))
      << "a documented default is not the one in force";
}

/// The strings in quotes that directly follow a reader's call in a source.
std::vector<std::string> keys_read_in(const std::string& source) {
  std::vector<std::string> keys;
  const std::string text = read_page(source);
  constexpr std::array readers{"text(",
                               "number(",
                               "duration(",
                               "real(",
                               "flag(",
                               "address(",
                               "texts(",
                               "read_size(section, ",
                               "read_size(once, ",
                               "read_size(strikes, ",
                               "read_name(section, ",
                               "read_count(section, "};
  for (const std::string reader : readers) {
    std::size_t at = text.find(reader);
    for (; at != std::string::npos; at = text.find(reader, at + 1)) {
      const auto begin =
          text.find_first_not_of(" \n", at + std::string(reader).size());
      if (begin == std::string::npos || text[begin] != '"') continue;
      const auto end = text.find('"', begin + 1);
      keys.push_back(text.substr(begin + 1, end - begin - 1));
    }
  }
  return keys;
}

// A key that the reader takes and the page does not show can't be found by
// loading the page's keys, so the reader's source is searched for it.
TEST(docs_test, operations_page_leaves_out_no_key_that_is_read) {
  const std::array places{
      std::pair{"### Settings of a router", "src/router/router_settings.cpp"},
      std::pair{"### Settings of an agent", "src/agent/agent_settings.cpp"},
      std::pair{"### Keys of a profile", "src/router/profile_toml.cpp"}};
  for (const auto& [heading, source] : places) {
    const auto keys = keys_below(heading);
    const auto read = keys_read_in(source);
    EXPECT_GT(read.size(), 10u) << source;
    for (const auto& key : read) {
      const bool shown =
          std::any_of(keys.begin(), keys.end(),
                      [&](const auto& each) { return each.key == key; });
      EXPECT_TRUE(shown) << key << " of " << source;
    }
  }
}

TEST(docs_test, operations_page_shows_a_profile_that_is_good) {
  const std::string page = read_page("docs/OPERATIONS.md");
  const std::string opening = "```toml\n";
  const auto begin = page.find(opening, page.find("## Profiles"));
  ASSERT_NE(begin, std::string::npos);
  const auto end = page.find("```", begin + opening.size());
  const auto read = router::read_profile(
      page.substr(begin + opening.size(), end - begin - opening.size()),
      "example");
  EXPECT_TRUE(read.problems.empty()) << shown(read.problems);
}

TEST(docs_test, every_page_that_is_linked_to_stands) {
  for (const std::string page :
       {"README.md", "docs/OPERATIONS.md", "docs/DESIGN.md", "docs/ERRORS.md",
        "docs/EVENTS.md", "docs/CONTRIBUTING.md", "docs/GLOSSARY.md"}) {
    const std::string text = read_page(page);
    EXPECT_FALSE(text.empty()) << page;
    const std::string folder = page.substr(0, page.rfind('/') + 1);
    for (auto at = text.find("]("); at != std::string::npos;
         at = text.find("](", at + 1)) {
      std::string target = text.substr(at + 2, text.find(')', at) - at - 2);
      target = target.substr(0, target.find('#'));
      if (target.empty() || target.starts_with("http")) continue;
      const auto base = page == "README.md" ? std::string() : folder;
      EXPECT_FALSE(read_page(base + target).empty())
          << page << " links to " << target;
    }
  }
}

TEST(docs_test, readme_gives_the_install_line_of_ci_and_script) {
  const std::string script = read_page("support/install.sh");
  const auto begin = script.find("apt-get install -y");
  const std::string line =
      script.substr(begin, script.find('\n', begin) - begin);
  EXPECT_NE(read_page(".ci/run").find(line), std::string::npos);
  EXPECT_NE(read_page("README.md").find(line), std::string::npos);
}

}  // namespace
}  // namespace boragehill
