#include <absl/flags/flag.h>
#include <gtest/gtest.h>

#include "app/command_registry.hpp"
#include "app/flag_check.hpp"
#include "app/line_diff.hpp"

ABSL_FLAG(int, test_count, 3, "how many");
ABSL_FLAG(bool, test_loud, false, "say more");

namespace boragehill::app {
namespace {

TEST(line_diff_test, marks_what_was_taken_out_and_put_in) {
  EXPECT_EQ(line_diff("a\nb\nc\n", "a\nx\nc\nd\n"), " a\n-b\n+x\n c\n+d\n");
  EXPECT_EQ(line_diff("", "a\n"), "+a\n");
  EXPECT_EQ(line_diff("a\n", ""), "-a\n");
  EXPECT_EQ(line_diff("", ""), "");
}

TEST(command_registry_test, finds_every_command_of_the_program) {
  const auto& all = command_registry::instance();
  for (const char* name : {"router", "agent", "profile", "status", "explain",
                           "check-settings", "version"}) {
    const auto* found = all.find(name);
    ASSERT_NE(found, nullptr) << name;
    EXPECT_NE(all.help().find(found->usage), std::string::npos);
  }
  EXPECT_EQ(all.find("restart"), nullptr);
}

TEST(command_registry_test, shows_a_command_with_its_flags_and_defaults) {
  const command chosen{.name = "try",
                       .usage = "try [--test_count N]",
                       .summary = "tries",
                       .flags = {"test_count"}};
  EXPECT_EQ(command_registry::instance().help_of(chosen),
            "boragehill try [--test_count N]\n\n  tries\n\nFlags:\n"
            "  --test_count\n      how many (default: 3)\n");
}

TEST(flag_check_test, names_the_first_wrong_flag) {
  const command chosen{.name = "try", .flags = {"test_count", "test_loud"}};
  using texts = std::vector<std::string>;
  for (const auto& good :
       {texts{"try"}, texts{"try", "--test_count=4", "--test_loud", "word"},
        texts{"try", "--test_count", "4", "--notest_loud"},
        texts{"try", "--", "--anything"}, texts{"try", "-"}}) {
    EXPECT_FALSE(wrong_flag(chosen, good));
  }
  for (const auto& bad :
       {texts{"try", "--settings=x"}, texts{"try", "--test_count=many"},
        texts{"try", "--test_count"}, texts{"try", "--notest_count"},
        texts{"try", "--test_loud=perhaps"}}) {
    EXPECT_TRUE(wrong_flag(chosen, bad)) << bad.back();
  }
}

}  // namespace
}  // namespace boragehill::app
