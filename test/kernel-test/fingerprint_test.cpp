#include "kernel/fingerprint.hpp"

#include <gtest/gtest.h>

namespace boragehill::kernel {
namespace {

TEST(fingerprint_test, is_the_same_for_the_same_texts) {
  EXPECT_EQ(fingerprint_of({"POST", "/a"}), fingerprint_of({"POST", "/a"}));
  EXPECT_EQ(fingerprint_of({"POST", "/a"}).size(), 32U);
}

TEST(fingerprint_test, tells_where_one_text_ends) {
  EXPECT_NE(fingerprint_of({"ab", "c"}), fingerprint_of({"a", "bc"}));
  EXPECT_NE(fingerprint_of({"a", ""}), fingerprint_of({"a"}));
}

}  // namespace
}  // namespace boragehill::kernel
