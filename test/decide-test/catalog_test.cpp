#include "decide/catalog.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

const catalog published(
    7, {profile{.name = "a",
                .services = {"orders"},
                .models = {{.name = "m",
                            .bytes = 10,
                            .adapters = {"x"},
                            .replicas = 3,
                            .max_replicas = 1}},
                .pools = {"ledger"},
                .non_idempotent = {{"POST", "/orders"}, {"*", "/pay"}},
                .cold_start_weight = 4.0},
        profile{.name = "b",
                .services = {"reports"},
                .models = {{.name = "m", .bytes = 12, .warm = 1}}}});

TEST(catalog_test, finds_the_profile_of_a_service) {
  ASSERT_NE(published.profile_of("reports"), nullptr);
  EXPECT_EQ(published.profile_of("reports")->name, "b");
  EXPECT_EQ(published.profile_of("nobody"), nullptr);
}

TEST(catalog_test, combines_the_highest_requirements_of_all_profiles) {
  const auto* spec = published.spec_of("m");
  ASSERT_NE(spec, nullptr);
  EXPECT_EQ(spec->bytes, 12u);
  EXPECT_EQ(spec->replicas, 3u);
  EXPECT_EQ(spec->max_replicas, 3u);
  EXPECT_EQ(spec->warm_replicas, 1u);
  EXPECT_EQ(spec->cold_start_weight, 4.0);
  EXPECT_EQ(published.spec_of("other"), nullptr);
}

TEST(catalog_test, allows_only_what_the_profile_lists) {
  const auto& owner = *published.profile_of("orders");
  EXPECT_TRUE(allows_model(owner, "m", ""));
  EXPECT_TRUE(allows_model(owner, "m", "x"));
  EXPECT_FALSE(allows_model(owner, "m", "y"));
  EXPECT_FALSE(allows_model(*published.profile_of("reports"), "m", "x"));
  EXPECT_TRUE(allows_pool(owner, "ledger"));
  EXPECT_FALSE(allows_pool(owner, "other"));
}

TEST(catalog_test, recognizes_non_idempotent_calls) {
  const auto& owner = *published.profile_of("orders");
  EXPECT_TRUE(is_non_idempotent(owner, "POST", "/orders/7"));
  EXPECT_FALSE(is_non_idempotent(owner, "GET", "/orders/7"));
  EXPECT_TRUE(is_non_idempotent(owner, "PUT", "/pay"));
  EXPECT_FALSE(is_non_idempotent(owner, "POST", "/other"));
}

}  // namespace
}  // namespace boragehill::decide
