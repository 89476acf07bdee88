#include "fleet/account_directory.hpp"

#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace boragehill::fleet {
namespace {

account_keys named(const std::string& name,
                   const std::vector<std::string>& keys) {
  return {.owner = {.name = name}, .keys = keys};
}

TEST(account_directory_test, finds_the_holder_of_a_key) {
  const account_directory accounts(
      {named("a", {"key-1", "key-2"}), named("b", {"key-3"})});
  ASSERT_NE(accounts.find("key-2"), nullptr);
  EXPECT_EQ(accounts.find("key-2")->name, "a");
  EXPECT_EQ(accounts.find("key-3")->name, "b");
}

// Guards against keys that are taken for others by a part or by case.
TEST(account_directory_test, finds_nobody_for_what_is_not_quite_a_key) {
  const account_directory accounts({named("a", {"key-1"})});
  for (const std::string& key :
       {std::string(), std::string("key-"), std::string("key-11"),
        std::string("KEY-1"), std::string("key-1\0", 6), std::string(4096, 'k'),
        std::string("k\xc3\xa9y-1")}) {
    EXPECT_EQ(accounts.find(key), nullptr) << key;
  }
}

TEST(account_directory_test, keeps_an_account_without_a_key) {
  const account_directory accounts({named("a", {})});
  EXPECT_FALSE(accounts.empty());
  EXPECT_EQ(accounts.find("key-1"), nullptr);
}

TEST(account_directory_test, names_what_is_wrong_and_no_key) {
  const std::vector<std::vector<account_keys>> cases{
      {named("", {"key-1"})},
      {named("a", {"key-1"}), named("a", {"key-2"})},
      {named("a", {"key-1"}), named("b", {"key-1"})},
      {named("a", {""})}};
  for (const auto& each : cases) {
    const auto problem = account_directory::find_problem(each);
    ASSERT_TRUE(problem);
    EXPECT_EQ(problem->find("key-"), std::string::npos) << *problem;
  }
  EXPECT_FALSE(account_directory::find_problem(
      {named("a", {"key-1", "key-1"}), named("b", {})}));
}

// Guards against lookups that grow with the number of keys.
TEST(account_directory_test, takes_no_longer_with_many_keys) {
  constexpr int many = 100000;
  constexpr int lookups = 20000;
  std::vector<std::string> keys;
  keys.reserve(many);
  for (int each = 0; each < many; ++each) {
    keys.push_back("key-" + std::to_string(each));
  }
  const account_directory accounts({named("a", keys)});
  const auto began = std::chrono::steady_clock::now();
  for (int each = 0; each < lookups; ++each) {
    EXPECT_NE(accounts.find(keys[static_cast<std::size_t>(each)]), nullptr);
  }
  // A scan of all keys takes some hundred microseconds each.
  EXPECT_LT(std::chrono::steady_clock::now() - began,
            std::chrono::microseconds(50) * lookups);
}

}  // namespace
}  // namespace boragehill::fleet
