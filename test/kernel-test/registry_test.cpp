#include "kernel/registry.hpp"

#include <gtest/gtest.h>

#include "kernel/registrar.hpp"

namespace boragehill::kernel {
namespace {

struct greeter {
  milliseconds patience{0};
};

const registrar<greeter> plain("plain", [](const plugin_settings& settings) {
  return std::make_unique<greeter>(greeter{.patience = settings.timeout});
});

TEST(registry_test, makes_a_registered_plugin_from_its_settings) {
  const auto made = registry<greeter>::instance().make(
      "plain", {.address = {}, .timeout = milliseconds(7)});
  ASSERT_TRUE(made);
  EXPECT_EQ(made.value()->patience, milliseconds(7));
  EXPECT_EQ(registry<greeter>::instance().names(),
            std::vector<std::string>{"plain"});
}

TEST(registry_test, an_unknown_name_is_an_error) {
  const auto made = registry<greeter>::instance().make("other", {});
  ASSERT_FALSE(made);
  EXPECT_EQ(made.error(), result_code::unknown_plugin);
}

}  // namespace
}  // namespace boragehill::kernel
