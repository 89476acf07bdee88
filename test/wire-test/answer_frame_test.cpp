#include "wire/answer_frame.hpp"

#include <gtest/gtest.h>
#include <vector>

#include "wire/answer_digest.hpp"
#include "wire/answer_frame_decoder.hpp"

namespace boragehill::wire {
namespace {

using frames = std::vector<answer_frame>;

const frames all_kinds{
    frame_head{.status = 200, .content_type = "text/event-stream"},
    frame_piece{.bytes = std::string("a\0b", 3)}, frame_piece{.bytes = ""},
    frame_end{.length = 3, .checksum = 0xfedcba9876543210},
    frame_failure{.code = result_code::engine_crashed,
                  .ran = ran_state::yes,
                  .message = "gone"}};

std::string encode_all(const frames& each) {
  std::string bytes;
  for (const answer_frame& frame : each) bytes += encode(frame);
  return bytes;
}

TEST(answer_frame_test, round_trips_however_the_bytes_are_split) {
  const std::string bytes = encode_all(all_kinds);
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    frames seen;
    const auto take = [&seen](answer_frame&& frame) {
      seen.push_back(std::move(frame));
      return true;
    };
    answer_frame_decoder decoder;
    ASSERT_TRUE(decoder.feed(std::string_view(bytes).substr(0, cut), take));
    ASSERT_TRUE(decoder.feed(std::string_view(bytes).substr(cut), take));
    EXPECT_EQ(seen, all_kinds) << "cut at " << cut;
  }
}

TEST(answer_frame_test, round_trips_byte_by_byte) {
  frames seen;
  answer_frame_decoder decoder;
  for (const char byte : encode_all(all_kinds)) {
    ASSERT_TRUE(decoder.feed({&byte, 1}, [&](answer_frame&& frame) {
      seen.push_back(std::move(frame));
      return true;
    }));
  }
  EXPECT_EQ(seen, all_kinds);
}

TEST(answer_frame_test, stops_when_the_taker_says_so) {
  int seen = 0;
  const auto take = [&seen](answer_frame&&) { return ++seen < 2; };
  answer_frame_decoder decoder;
  EXPECT_TRUE(decoder.feed(encode_all(all_kinds), take));
  EXPECT_FALSE(decoder.feed(encode_all(all_kinds), take));
  EXPECT_EQ(seen, 2);
}

TEST(answer_frame_test, refuses_garbled_and_oversized_frames) {
  // A user would see a router that runs out of memory.
  // A broken agent sends a frame whose length or kind makes no sense.
  // Cause: a length that is trusted before it is checked.
  const std::string short_end("\3\0\0\0\1x", 6);
  const std::string unknown_kind("\7\0\0\0\0", 5);
  const std::string unknown_ran("\4\0\0\0\5\0\0\0\1\7", 10);
  const std::string oversized("\2\1\0\0\1", 5);
  const auto error_of = [](const std::string& bytes) {
    answer_frame_decoder decoder;
    const auto fed = decoder.feed(bytes, [](answer_frame&&) { return true; });
    return fed ? std::error_code() : fed.error();
  };
  EXPECT_EQ(error_of(short_end), result_code::frame_garbled);
  EXPECT_EQ(error_of(unknown_kind), result_code::frame_garbled);
  EXPECT_EQ(error_of(unknown_ran), result_code::frame_garbled);
  EXPECT_EQ(error_of(oversized), result_code::frame_too_large);
}

TEST(answer_digest_test, matches_the_same_bytes_in_other_pieces) {
  answer_digest sender;
  sender.add("whole answer");
  answer_digest receiver;
  receiver.add("whole ");
  EXPECT_FALSE(receiver.matches(sender.end()));
  receiver.add("answer");
  EXPECT_TRUE(receiver.matches(sender.end()));
}

TEST(answer_digest_test, finds_any_changed_byte) {
  // A caller would take a wrong answer for a right one.
  // A byte changes, or two pieces change places, on the way to the router.
  // Cause: an end frame that counts bytes but doesn't look at them.
  const std::string body = "three manifolds, one spool";
  answer_digest sender;
  sender.add(body);
  for (std::size_t i = 0; i < body.size(); ++i) {
    std::string changed = body;
    changed[i] ^= 1;
    answer_digest receiver;
    receiver.add(changed);
    EXPECT_FALSE(receiver.matches(sender.end())) << "byte " << i;
  }
}

}  // namespace
}  // namespace boragehill::wire
