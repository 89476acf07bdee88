#include "decide/version_binding.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(version_binding_test, a_response_without_events_may_begin_anywhere) {
  const version_binding binding;
  EXPECT_EQ(binding, version_binding(any_version{}));
  EXPECT_TRUE(allows(binding, "a"));
  EXPECT_TRUE(allows(binding, ""));
  EXPECT_FALSE(is_bound(binding));
  EXPECT_FALSE(is_awaited(binding));
  EXPECT_FALSE(is_unknown(binding));
  EXPECT_EQ(bound_software(binding), "");
}

TEST(version_binding_test, a_stream_goes_on_at_its_version_alone) {
  const version_binding binding = only_version{"1.2"};
  EXPECT_TRUE(allows(binding, "1.2"));
  EXPECT_FALSE(allows(binding, "1.20"));
  EXPECT_FALSE(allows(binding, "1"));
  EXPECT_FALSE(allows(binding, ""));
  EXPECT_TRUE(is_bound(binding));
  EXPECT_FALSE(is_awaited(binding));
  EXPECT_FALSE(is_unknown(binding));
  EXPECT_EQ(bound_software(binding), "1.2");
}

// Guards against streams of servers that don't tell their version which go on
// at any other.
TEST(version_binding_test, a_server_without_a_version_is_like_itself_only) {
  const version_binding binding = only_version{""};
  EXPECT_TRUE(allows(binding, ""));
  EXPECT_FALSE(allows(binding, "a"));
  EXPECT_TRUE(is_bound(binding));
}

TEST(version_binding_test, no_server_gets_a_stream_while_its_version_is_asked) {
  const version_binding binding = awaited_version{};
  EXPECT_FALSE(allows(binding, "a"));
  EXPECT_FALSE(allows(binding, ""));
  EXPECT_TRUE(is_bound(binding));
  EXPECT_TRUE(is_awaited(binding));
  EXPECT_FALSE(is_unknown(binding));
  EXPECT_EQ(bound_software(binding), "");
}

TEST(version_binding_test, no_server_ever_gets_a_stream_of_unknown_version) {
  const version_binding binding = unknown_version{};
  EXPECT_FALSE(allows(binding, "a"));
  EXPECT_FALSE(allows(binding, ""));
  EXPECT_TRUE(is_bound(binding));
  EXPECT_FALSE(is_awaited(binding));
  EXPECT_TRUE(is_unknown(binding));
  EXPECT_EQ(bound_software(binding), "");
}

}  // namespace
}  // namespace boragehill::decide
