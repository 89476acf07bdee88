#include <chrono>
#include <csignal>
#include <cstddef>
#include <future>
#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <vector>

#include "fleet-test/answering_server.hpp"
#include "fleet-test/slow_caller.hpp"
#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// \return The bytes of a caller's request that closes its connection.
std::string request_of(const std::string& attempt, const std::string& path,
                       const std::string& model, int most_tokens = 100) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: valves.example\r\nConnection: close\r\n"
         "Boragehill-Attempt-Id: " +
         attempt + "\r\nBoragehill-Model: " + model +
         "\r\nBoragehill-Token-Count: 10," + std::to_string(most_tokens) +
         "\r\n"
         "Boragehill-Deadline-Ms: 10000\r\nContent-Length: 1\r\n\r\n?";
}

TEST(stopping_router_test, sends_on_no_waiting_request_that_would_be_cut_off) {
  // Guards against answers that begin when the stop leaves no time for them,
  // since their requests waited for a model after they were taken.
  small_fleet fleet(1, 1, 1, 3);
  ASSERT_TRUE(fleet.start());
  fleet.fault("worker-1", R"({"kind":"slow_events","ms":700})");
  fleet.fault("worker-1", R"({"kind":"slow_loads","ms":6000})");
  fleet["router-1"].signal(SIGTERM);
  // While it is open the router takes requests.
  std::string long_answer;
  std::thread long_stream([&fleet, &long_answer] {
    long_answer = fleet.raw(1, request_of("open", "/stream/x", "model-1"));
  });
  constexpr milliseconds taken_until_then{2500};
  std::this_thread::sleep_for(taken_until_then);
  const auto begin = steady_clock::now();
  const auto answer = fleet.raw(1, request_of("waits", "/stream/x", "model-3"));
  const auto took = steady_clock::now() - begin;
  // It was taken, and waited.
  EXPECT_GT(took, milliseconds(300));
  constexpr milliseconds process_end{7500};
  EXPECT_LT(took, process_end - taken_until_then);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  EXPECT_EQ(fleet.runs_of("waits"), 0);
  long_stream.join();
  EXPECT_NE(long_answer.find("id: 8\n"), std::string::npos) << long_answer;
}

TEST(stopping_router_test, takes_no_answer_that_lasts_as_the_last_ones_did) {
  // Guards against answers that are cut off since busy workers are slow.
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet.fault("worker-1", R"({"kind":"slow_events","ms":500})");
  const auto first = fleet.raw(1, request_of("first", "/stream/x", "model-1"));
  ASSERT_NE(first.find("id: 8\n"), std::string::npos) << first;
  fleet["router-1"].signal(SIGTERM);
  std::string open_answer;
  std::thread open([&fleet, &open_answer] {
    open_answer = fleet.raw(1, request_of("open", "/stream/x", "model-1"));
  });
  std::this_thread::sleep_for(milliseconds(3500));
  const auto answer = fleet.raw(1, request_of("late", "/stream/x", "model-1"));
  open.join();
  EXPECT_NE(open_answer.find("id: 8\n"), std::string::npos) << open_answer;
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_EQ(fleet.runs_of("late"), 0);
}

TEST(stopping_router_test, takes_no_late_stream_that_it_cant_see_the_end_of) {
  // Guards against streams that are sent on late in a stop, by an estimate, and
  // cut off at its end.
  small_fleet fleet(1, 2, 1, 2);
  ASSERT_TRUE(fleet.start());
  fleet.fault("worker-2", R"({"kind":"slow_events","ms":700})");
  fleet["router-1"].signal(SIGTERM);
  std::string open_answer;
  std::thread open([&fleet, &open_answer] {
    open_answer = fleet.raw(1, request_of("open", "/stream/x", "model-2"));
  });
  std::this_thread::sleep_for(milliseconds(3500));
  const auto begin = steady_clock::now();
  const auto late = fleet.raw(1, request_of("late", "/stream/x", "model-2"));
  EXPECT_LT(steady_clock::now() - begin, milliseconds(300));
  EXPECT_TRUE(late.starts_with("HTTP/1.1 503 ")) << late;
  EXPECT_NE(late.find("Retry-After: "), std::string::npos) << late;
  EXPECT_EQ(fleet.runs_of("late"), 0);
  const auto call = fleet.raw(1, request_of("call", "/plain/x", "", 0));
  EXPECT_TRUE(call.starts_with("HTTP/1.1 200 ")) << call;
  open.join();
  EXPECT_NE(open_answer.find("id: 8\n"), std::string::npos) << open_answer;
}

/// \return A server's answer of so many bytes.
server_answer_bytes long_answer(const std::string& attempt,
                                std::string_view body) {
  return {.head =
              "HTTP/1.1 200 OK\r\nBoragehill-Response-Stamp: s\r\n"
              "Boragehill-Attempt-Id: " +
              attempt + "\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n",
          .body = body};
}

TEST(stopping_router_test, ends_when_slow_callers_have_their_answers) {
  // Guards against answers that are complete at the router and lost with its
  // process.
  constexpr int callers = 12;
  constexpr std::size_t least_bytes = 2'500'000;
  constexpr std::size_t step_bytes = 23'000;
  constexpr std::size_t bytes_per_second = 400'000;
  const std::string bytes(least_bytes + callers * step_bytes, 'x');
  // The attempts are numbers.
  const auto size_of = [](const std::string& attempt) {
    return least_bytes + std::stoul(attempt) * step_bytes;
  };
  answering_server server(
      {.address = "127.0.0.1"}, [&](const http::message_head& head) {
        const auto& attempt = *head.headers.find("Boragehill-Attempt-Id");
        return long_answer(attempt,
                           std::string_view(bytes).substr(0, size_of(attempt)));
      });
  small_fleet fleet(1, 0, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet.write_entry("i-long", server.entry(callers));
  fleet.forget_server("i-plain-1");
  std::this_thread::sleep_for(milliseconds(1500));
  std::vector<std::future<std::size_t>> answers;
  answers.reserve(callers);
  for (int each = 0; each < callers; ++each) {
    answers.push_back(std::async(std::launch::async, [&fleet, each] {
      const slow_caller caller(fleet.caller_address(1), bytes_per_second);
      return caller.take(request_of(std::to_string(each), "/plain/x", "", 0));
    }));
  }
  std::this_thread::sleep_for(milliseconds(300));
  fleet["router-1"].signal(SIGTERM);
  for (int each = 0; each < callers; ++each) {
    EXPECT_EQ(answers[static_cast<std::size_t>(each)].get(),
              size_of(std::to_string(each)));
  }
}

/// \return What comes on a connection on which bytes are sent after a pause.
std::string answer_after(int socket, milliseconds pause,
                         const std::string& bytes) {
  std::this_thread::sleep_for(pause);
  return small_fleet::exchange(socket, bytes);
}

// Guards against a connection that is closed while its first request is on its
// way.
TEST(stopping_router_test, answers_a_request_that_comes_after_its_connection) {
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet.fault("worker-1", R"({"kind":"slow_events","ms":700})");
  fleet["router-1"].signal(SIGTERM);
  std::thread open(
      [&fleet] { fleet.raw(1, request_of("open", "/stream/x", "model-1")); });
  std::this_thread::sleep_for(milliseconds(3200));
  const auto answer = answer_after(fleet.connect(1), milliseconds(200),
                                   request_of("call", "/plain/x", "", 0));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  open.join();
}

// Guards against calls that are sent to a slow service late in a stop, run and
// are cut off at its end.
TEST(stopping_router_test, takes_no_late_call_that_lasts_as_the_last_ones_did) {
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet.fault("worker-1", R"({"kind":"slow_events","ms":700})");
  fleet.fault("plain-1", R"({"kind":"slow","ms":3000})");
  const auto first = fleet.raw(1, request_of("first", "/plain/x", "", 0));
  EXPECT_TRUE(first.starts_with("HTTP/1.1 200 ")) << first;
  fleet["router-1"].signal(SIGTERM);
  std::thread open(
      [&fleet] { fleet.raw(1, request_of("open", "/stream/x", "model-1")); });
  std::this_thread::sleep_for(milliseconds(5000));
  const auto late = fleet.raw(1, request_of("late", "/plain/x", "", 0));
  EXPECT_TRUE(late.starts_with("HTTP/1.1 503 ")) << late;
  EXPECT_NE(late.find("Retry-After: "), std::string::npos) << late;
  EXPECT_EQ(fleet.runs_of("late"), 0);
  open.join();
}

// Guards against connections that end without an answer with the process.
TEST(stopping_router_test, answers_all_requests_that_come_until_its_end) {
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet.fault("worker-1", R"({"kind":"slow_events","ms":2000})");
  fleet["router-1"].signal(SIGTERM);
  std::thread open(
      [&fleet] { fleet.raw(1, request_of("open", "/stream/x", "model-1")); });
  // The stream has the process run until its time is over.
  std::this_thread::sleep_for(milliseconds(6500));
  std::vector<std::future<std::string>> answers;
  while (const auto socket = fleet.try_connect(1)) {
    const auto attempt = numbered("late", static_cast<int>(answers.size()));
    answers.push_back(std::async(std::launch::async, [socket, attempt] {
      return answer_after(*socket, milliseconds(30),
                          request_of(attempt, "/plain/x", "", 0));
    }));
    std::this_thread::sleep_for(milliseconds(10));
  }
  open.join();
  int unanswered = 0;
  for (auto& each : answers) {
    const auto answer = each.get();
    if (!answer.starts_with("HTTP/1.1 200 ") &&
        !answer.starts_with("HTTP/1.1 503 ")) {
      ++unanswered;
    }
  }
  EXPECT_GT(answers.size(), 50U);
  EXPECT_EQ(unanswered, 0);
}

// Guards against a request that is cut off in the middle by the end of a
// process that has nothing else to do.
TEST(stopping_router_test, answers_a_request_whose_body_is_on_its_way) {
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet["router-1"].signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(2500));
  const auto request = request_of("slow", "/plain/x", "", 0);
  const int socket = fleet.connect(1);
  const auto begun = request.size() - 1;
  ::send(socket, request.data(), begun, MSG_NOSIGNAL);
  const auto answer =
      answer_after(socket, milliseconds(1200), request.substr(begun));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

TEST(stopping_router_test, lets_a_broken_stream_go_on_while_there_is_time) {
  // Guards against answers that are cut off for the length that they might
  // have had.
  small_fleet fleet(1, 2, 1, 2);
  ASSERT_TRUE(fleet.start());
  for (const char* worker : {"worker-1", "worker-2"}) {
    fleet.fault(worker, R"({"kind":"slow_events","ms":280})");
  }
  fleet["router-1"].signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(2500));
  std::string answer;
  std::thread caller([&fleet, &answer] {
    answer = fleet.raw(1, request_of("breaks", "/stream/r/x", "model-1", 1000));
  });
  std::this_thread::sleep_for(milliseconds(700));
  fleet["worker-1"].kill();
  caller.join();
  EXPECT_NE(answer.find("id: 8\n"), std::string::npos) << answer;
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
}

TEST(stopping_router_test, answers_what_no_server_has_answered_by_the_end) {
  // Guards against connections that are closed without any answer.
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet.fault("plain-1", R"({"kind":"slow","ms":9000})");
  fleet["router-1"].signal(SIGTERM);
  constexpr int deadline_ms = 10000;
  const auto answer = fleet.call(1, "slow", {}, "/plain/x", deadline_ms);
  ASSERT_TRUE(answer) << httplib::to_string(answer.error());
  EXPECT_EQ(answer->status, 502);
  EXPECT_FALSE(answer->has_header("Retry-After"));
}

}  // namespace
}  // namespace boragehill::fleet_test
