#include "platform/store_reader.hpp"

#include <functional>
#include <gtest/gtest.h>
#include <set>
#include <string>

#include "adapter-test/fake_store.hpp"
#include "http/whole_answer.hpp"
#include "platform/row_codec.hpp"

namespace boragehill::platform {
namespace {

/// The largest answer about rows.
constexpr std::size_t megabyte = 1 << 20;
/// A quarter of 10 Mbit/s; requests take the rest.
constexpr std::size_t share_of_thin_link = 312500;

class store_reader_test : public testing::Test {
 protected:
  void SetUp() override {
    this->reader->on_failure([this](const failed_attempt& failure) {
      this->reasons.insert(failure.reason);
      this->most_in_flight = std::max(this->most_in_flight, failure.in_flight);
    });
  }

  /// \return True if the store's newest value is read in time.
  bool reads(const std::string& value, milliseconds longest) {
    this->found.clear();
    this->reader->ask(milliseconds(0), [this](milliseconds) {
      return store_request{
          .text = rows_request("t", {}, this->store.address().to_string()),
          .receive = [this](const http::whole_answer& answer) {
            const auto batch = decode_rows(answer.body);
            if (batch) this->found = batch.value().rows.front().value;
          }};
    });
    const auto end = time_point::clock::now() + longest;
    while (this->found != value && time_point::clock::now() < end) {
      this->context.run_one_for(milliseconds(5));
      this->context.restart();
    }
    return this->found == value;
  }

  asio::io_context context;
  fake_store store{this->context};
  std::shared_ptr<store_reader> reader =
      std::make_shared<store_reader>(this->context, this->store.address());
  std::string found;
  std::set<std::string> reasons;
  int most_in_flight = 0;
};

// Guards against giving up a response because it is long.
TEST_F(store_reader_test,
       waits_for_the_largest_response_on_a_shared_thin_link) {
  const std::string page(megabyte / 4 * 3, 'x');
  this->store.put(page);
  this->store.limit_link(share_of_thin_link);
  EXPECT_TRUE(this->reads(page, milliseconds(4500)));
  EXPECT_EQ(this->reasons, std::set<std::string>{});
  EXPECT_LE(this->store.bytes_sent(), megabyte + megabyte / 10);
}

// Guards against a response that ends early and is taken for whole, or for
// silence.
TEST_F(store_reader_test, retries_a_response_that_is_cut_off) {
  this->store.answer_badly(bad_answer::cut_off, 1);
  EXPECT_TRUE(this->reads("first", milliseconds(1000)));
  EXPECT_EQ(this->reasons, std::set<std::string>{"answer cut off"});
}

// Guards against the bytes after a response that would begin the next one.
TEST_F(store_reader_test, retries_a_response_longer_than_its_length) {
  this->store.answer_badly(bad_answer::too_long, 1);
  EXPECT_TRUE(this->reads("first", milliseconds(1000)));
  EXPECT_EQ(this->reasons, std::set<std::string>{"answer too long"});
}

// Guards against waiting for the rest of a response from a dead connection.
TEST_F(store_reader_test, hedges_a_response_that_stalls) {
  this->store.answer_badly(bad_answer::stalled, 1);
  EXPECT_TRUE(this->reads("first", milliseconds(1000)));
  EXPECT_EQ(this->reasons, std::set<std::string>{"answer overdue"});
}

// Guards against copies without number where all responses stall.
TEST_F(store_reader_test, ends_responses_that_stall) {
  this->store.answer_badly(bad_answer::stalled, 2);
  EXPECT_TRUE(this->reads("first", milliseconds(3000)));
  EXPECT_TRUE(this->reasons.contains("answer stalled"));
  EXPECT_LE(this->most_in_flight, 2);
}

// Guards against a response of a byte a second that is waited for to its end.
TEST_F(store_reader_test, ends_responses_that_trickle) {
  this->store.answer_badly(bad_answer::trickling, 2);
  EXPECT_TRUE(this->reads("first", milliseconds(7500)));
  EXPECT_TRUE(this->reasons.contains("answer too slow"));
  EXPECT_LE(this->most_in_flight, 2);
}

}  // namespace
}  // namespace boragehill::platform
