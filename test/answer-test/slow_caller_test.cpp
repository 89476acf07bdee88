#include "fleet-test/slow_caller.hpp"

#include <chrono>
#include <cstddef>
#include <future>
#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "fleet-test/answering_server.hpp"
#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

// Guards against an answer that is cut off though its caller reads steadily,
// since the kernel tells of it only when a part of its buffer is free.
TEST(slow_caller_test, gets_all_that_it_takes_steadily) {
  // From what a kernel holds upwards, so that the last bytes of some answers
  // wait at the router.
  constexpr int callers = 12;
  constexpr std::size_t least_bytes = 2'600'000;
  constexpr std::size_t step_bytes = 100'000;
  constexpr std::size_t bytes_per_second = 1'000'000;
  const std::string bytes(least_bytes + callers * step_bytes, 'x');
  // The attempts are numbers.
  const auto size_of = [](const std::string& attempt) {
    return least_bytes + std::stoul(attempt) * step_bytes;
  };
  answering_server server(
      {.address = "127.0.0.1"}, [&](const http::message_head& head) {
        const auto size = size_of(*head.headers.find("Boragehill-Attempt-Id"));
        return server_answer_bytes{
            .head =
                "HTTP/1.1 200 OK\r\nBoragehill-Response-Stamp: s\r\n"
                "Content-Length: " +
                std::to_string(size) + "\r\n\r\n",
            .body = std::string_view(bytes).substr(0, size)};
      });
  small_fleet fleet(1, 0, 1, 1);
  fleet.set_idle_timeout(std::chrono::milliseconds(200));
  ASSERT_TRUE(fleet.start());
  fleet.write_entry("i-long", server.entry(callers));
  fleet.forget_server("i-plain-1");
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  std::vector<std::future<std::size_t>> answers;
  answers.reserve(callers);
  for (int each = 0; each < callers; ++each) {
    answers.push_back(std::async(std::launch::async, [&fleet, each] {
      const slow_caller caller(fleet.caller_address(1), bytes_per_second);
      return caller.take(
          "GET /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
          "Connection: close\r\nBoragehill-Attempt-Id: " +
          std::to_string(each) + "\r\n\r\n");
    }));
  }
  for (int each = 0; each < callers; ++each) {
    EXPECT_EQ(answers[static_cast<std::size_t>(each)].get(),
              size_of(std::to_string(each)));
  }
}

}  // namespace
}  // namespace boragehill::fleet_test
