#include <gtest/gtest.h>

#include "kernel/settings_document.hpp"

namespace boragehill::kernel {
namespace {

using problems = std::vector<settings_problem>;

constexpr milliseconds low{1};
constexpr milliseconds high{1000};

settings_problem expected(result_code code, std::uint32_t line, std::string key,
                          std::string message) {
  return {.code = code,
          .file = "a.toml",
          .line = line,
          .key = std::move(key),
          .message = std::move(message)};
}

TEST(settings_test, reads_every_kind_of_value) {
  auto document = settings_document::parse(
      "top = 1\n[router]\nname = 'a'\nlisten = '10.1.2.3:7101'\nwait_ms = 5\n"
      "share = 1\nopen = true\npeers = ['b', 'c']\n[router.limits]\nrows = 3\n"
      "[[pool]]\nname = 'x'\n[[pool]]\nname = 'y'\n",
      "a.toml");
  EXPECT_EQ(document.section("").number("top", {}, 0, 9), 1);
  auto router = document.section("router");
  EXPECT_EQ(router.text("name", {}), "a");
  EXPECT_EQ(router.address("listen", {}), (endpoint{"10.1.2.3", 7101}));
  EXPECT_EQ(router.duration("wait_ms", {}, low, high), milliseconds(5));
  EXPECT_EQ(router.real("share", {}, 0, 1), 1.0);
  EXPECT_TRUE(router.flag("open", {}));
  EXPECT_EQ(router.texts("peers", {}), (std::vector<std::string>{"b", "c"}));
  EXPECT_EQ(document.section("router.limits").number("rows", {}, 0, 9), 3);
  auto pools = document.sections("pool");
  ASSERT_EQ(pools.size(), 2u);
  EXPECT_EQ(pools[0].text("name", {}), "x");
  EXPECT_EQ(pools[1].text("name", {}), "y");
  EXPECT_EQ(document.finish(), problems());
}

TEST(settings_test, a_missing_section_gives_the_fallbacks) {
  auto document = settings_document::parse("", "a.toml");
  auto section = document.section("router");
  EXPECT_FALSE(section.present());
  EXPECT_EQ(section.number("rows", 4, 0, 9), 4);
  EXPECT_EQ(section.duration("wait_ms", high, low, high), high);
  EXPECT_EQ(document.finish(), problems());
}

TEST(settings_test, each_problem_names_its_file_line_and_key) {
  auto document = settings_document::parse(
      "[router]\nname = 5\nlisten = 'nowhere'\nwait_ms = 5000\nshare = inf\n"
      "open = 1\npeers = ['b', 2]\nnmae = 'a'\n[other]\nkey = 1\n",
      "a.toml");
  auto router = document.section("router");
  router.text("name", {});
  router.address("listen", {});
  router.duration("wait_ms", {}, low, high);
  router.real("share", {}, 0, 1);
  router.flag("open", {});
  router.texts("peers", {});
  router.number("rows", {}, 0, 9);
  using code = result_code;
  const problems wanted{
      expected(code::settings_wrong_type, 2, "router.name",
               "expected a string"),
      expected(code::settings_wrong_type, 3, "router.listen",
               "expected \"IP:port\""),
      expected(code::settings_out_of_range, 4, "router.wait_ms",
               "5000 isn't within 1 to 1000"),
      expected(code::settings_wrong_type, 5, "router.share",
               "expected a finite number"),
      expected(code::settings_wrong_type, 6, "router.open",
               "expected true or false"),
      expected(code::settings_wrong_type, 7, "router.peers",
               "expected an array of strings"),
      expected(code::settings_missing_key, 1, "router.rows", "missing"),
      expected(code::settings_unknown_key, 9, "other", "unknown section"),
      expected(code::settings_unknown_key, 8, "router.nmae", "unknown key")};
  EXPECT_EQ(document.finish(), wanted);
  EXPECT_EQ(wanted[0].to_string(),
            "a.toml:2: router.name: expected a string "
            "(8003 settings_wrong_type)");
}

TEST(settings_test, an_unknown_key_in_an_array_of_tables_is_found) {
  auto document =
      settings_document::parse("[[pool]]\na = 1\n[[pool]]\nb = 1\n", "a.toml");
  for (auto& pool : document.sections("pool")) pool.number("a", 0, 0, 9);
  const problems wanted{expected(result_code::settings_unknown_key, 4,
                                 "pool[1].b", "unknown key")};
  EXPECT_EQ(document.finish(), wanted);
}

TEST(settings_test, broken_text_gives_one_problem_with_its_line) {
  auto document = settings_document::parse("a = 1\nb = = 2\n", "a.toml");
  document.section("router").text("name", {});
  const auto found = document.finish();
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found[0].code, result_code::settings_unreadable);
  EXPECT_EQ(found[0].line, 2u);
}

TEST(settings_test, a_missing_file_gives_one_problem) {
  auto document = settings_document::read_file("no/such.toml");
  document.section("router").text("name", {});
  const auto found = document.finish();
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found[0].code, result_code::settings_unreadable);
  EXPECT_EQ(found[0].file, "no/such.toml");
}

TEST(settings_test, the_command_line_goes_before_the_file) {
  auto document = settings_document::parse("[a]\nrows = 1\n", "a.toml");
  document.override_value("a.rows=2");
  document.override_value("a.name=5");
  document.override_value("b.c.listen=10.1.2.3:7101");
  document.override_value("a.typo=1");
  document.override_value("nonsense");
  EXPECT_EQ(document.section("a").number("rows", {}, 0, 9), 2);
  EXPECT_EQ(document.section("a").text("name", {}), "5");
  EXPECT_EQ(document.section("b.c").address("listen", {}),
            (endpoint{"10.1.2.3", 7101}));
  const auto found = document.finish();
  ASSERT_EQ(found.size(), 2u);
  EXPECT_EQ(found[0].key, "nonsense");
  EXPECT_EQ(found[1].key, "a.typo");
  EXPECT_EQ(found[1].file, "command line");
}

TEST(settings_test, a_reader_can_report_a_value_it_cannot_use) {
  auto document = settings_document::parse("[a]\nmode = 'x'\n", "a.toml");
  auto section = document.section("a");
  section.text("mode", {});
  section.report(result_code::settings_out_of_range, "mode", "no such mode");
  const problems wanted{expected(result_code::settings_out_of_range, 2,
                                 "a.mode", "no such mode")};
  EXPECT_EQ(document.finish(), wanted);
}

}  // namespace
}  // namespace boragehill::kernel
