#include <gtest/gtest.h>

#include <boragehill/endpoint.hpp>

namespace boragehill {
namespace {

TEST(endpoint_test, reads_addresses_of_both_kinds) {
  EXPECT_EQ(endpoint::parse("10.0.0.2:7"), (endpoint{"10.0.0.2", 7}));
  EXPECT_EQ(endpoint::parse("::1:7"), (endpoint{"::1", 7}));
  for (const char* text : {"", "10.0.0.2", "10.0.0.2:", "10.0.0.2:x",
                           "10.0.0.2:70000", "host:7", ":7"}) {
    EXPECT_FALSE(endpoint::parse(text)) << text;
  }
}

TEST(endpoint_test, refuses_bytes_behind_a_nul) {
  // A message names an address with a NUL byte and more behind it. It passed as
  // good, and came back otherwise when it was written and read again.
  const std::string text("10.0.0.2\0\xe5\xe5:7", 13);
  EXPECT_FALSE(endpoint::parse(text));
}

}  // namespace
}  // namespace boragehill
