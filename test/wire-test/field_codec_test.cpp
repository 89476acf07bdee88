#include "wire/field_codec.hpp"

#include <gtest/gtest.h>

#include "kernel/utf8.hpp"
#include "wire/attempts_done.hpp"
#include "wire/permit_request.hpp"

namespace boragehill::wire {

TEST(utf8_test, takes_well_formed_text) {
  EXPECT_TRUE(kernel::is_utf8(""));
  EXPECT_TRUE(kernel::is_utf8("valve \xc3\xa9 \xe2\x82\xac \xf0\x9f\x8c\xbf"));
}

TEST(utf8_test, refuses_what_is_cut_overlong_or_out_of_range) {
  for (const char* bad : {"\xff", "\xc3", "\x80", "\xc0\xaf", "\xe0\x80\xaf",
                          "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x28\xa1"}) {
    EXPECT_FALSE(kernel::is_utf8(bad)) << bad;
  }
}

// Found by the fuzz target. Two idempotency keys that differ in bytes that are
// not UTF-8 were written to the table as the same text, so the second caller
// would have been given the first one's answer.
TEST(utf8_test, keeps_other_bytes_out_of_messages) {
  const std::string text = "{\"target\":\"model:\xff\xff\"}";
  const auto read = from_text<permit_request>(text);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error(), result_code::frame_garbled);
}

TEST(field_codec_test, refuses_an_address_without_a_port) {
  // A peer's message names an entry at port 0, where nobody can be reached.
  // Read as an address it was written back as none: two messages that differ
  // became one.
  EXPECT_FALSE(from_text<attempts_done>(R"({"entry":"10.0.0.1:0"})"));
  EXPECT_TRUE(from_text<attempts_done>(R"({"entry":"10.0.0.1:1"})"));
  EXPECT_TRUE(from_text<attempts_done>(R"({"entry":""})"));
}

}  // namespace boragehill::wire
