#include "platform/catalog_reader.hpp"

#include <gtest/gtest.h>
#include <string>

#include "fleet/catalog.hpp"
#include "platform/row_batch.hpp"

namespace boragehill::platform {
namespace {

row config(std::int64_t row_version, std::int64_t version) {
  return {.table = "op",
          .key = "config",
          .value = R"({"version":)" + std::to_string(version) +
                   R"(,"routes":[],"services":[],"limits":{}})",
          .version = row_version};
}

row unreadable(std::int64_t row_version) {
  return {.table = "op",
          .key = "config",
          .value = "garbled",
          .version = row_version};
}

// Guards against versions that are put in force although they are replaced.
TEST(catalog_reader_test, takes_the_newest_of_several_versions) {
  catalog_reader reader;
  const auto found =
      reader.read({.rows = {config(3, 10), config(5, 14), config(4, 12)}});
  ASSERT_TRUE(found);
  EXPECT_EQ(found->version, 14);
}

// Guards against going back to an older configuration.
TEST(catalog_reader_test, takes_no_version_that_is_not_newer) {
  catalog_reader reader;
  ASSERT_TRUE(reader.read({.rows = {config(5, 14)}}));
  EXPECT_FALSE(reader.read({.rows = {config(5, 14)}}));
  EXPECT_FALSE(reader.read({.rows = {config(4, 12)}}));
  EXPECT_FALSE(reader.read({}));
}

// Guards against losing a good version beside one that can't be read.
TEST(catalog_reader_test, takes_the_newest_version_that_can_be_read) {
  catalog_reader reader;
  const auto found = reader.read({.rows = {config(3, 10), unreadable(5)}});
  ASSERT_TRUE(found);
  EXPECT_EQ(found->version, 10);
}

}  // namespace
}  // namespace boragehill::platform
