#include <gtest/gtest.h>
#include <string>

#include "fleet-test/small_fleet.hpp"
#include "fleet-test/whole_stream.hpp"

namespace boragehill::fleet_test {
namespace {

constexpr auto no_frame = R"({"kind":"unframed"})";
constexpr auto cut_next = R"({"kind":"cut_stream"})";
const std::string resumable = "/stream/r/x";
const std::string run_once = "/stream/x";

/// A fleet with one model worker.
class stream_end_test : public testing::Test {
 protected:
  stream_end_test() : fleet(1, 1, 1, 1) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    ASSERT_TRUE(this->fleet.wait_for_retries(1, 1, "assist"));
  }

  httplib::Result call(const std::string& path) {
    return this->fleet.call(1, "asks", "model-1", path);
  }

  small_fleet fleet;
};

// Guards against a broken stream without a length or chunks that is passed on
// as complete.
TEST_F(stream_end_test, resumes_an_unframed_stream_that_ends_inside_an_event) {
  this->fleet.fault("worker-1", no_frame);
  this->fleet.fault("worker-1", cut_next);
  expect_whole_stream(this->call(resumable), "asks");
}

TEST_F(stream_end_test, passes_on_a_complete_unframed_stream_once) {
  this->fleet.fault("worker-1", no_frame);
  for (const auto& path : {run_once, resumable}) {
    expect_whole_stream(this->call(path), "asks");
  }
  EXPECT_EQ(this->fleet.runs_of("asks"), 2);
}

}  // namespace
}  // namespace boragehill::fleet_test
