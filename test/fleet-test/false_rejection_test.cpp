#include <absl/strings/str_cat.h>
#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>

#include "fleet-test/late_copy_server.hpp"
#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

constexpr int requests = 10;
const std::string id_header = "Boragehill-Attempt-Id: ";
const std::string proof = "Boragehill-Response-Stamp: i-late\r\n";
const std::string run_answer = "HTTP/1.1 200 OK\r\n" + proof;
const std::string body = "Content-Length: 4\r\n\r\ndone";
const std::string rejection =
    "HTTP/1.1 503 Full\r\nBoragehill-Not-Run: 1\r\nRetry-After: 0.15\r\n";
const std::string no_body = "Content-Length: 0\r\n\r\n";

std::string named(const std::string& attempt) {
  return id_header + attempt + "\r\n";
}

/// A plain service whose only server is scripted.
class false_rejection_test : public testing::Test {
 protected:
  false_rejection_test() : fleet(1, 0, 1, 1) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    ASSERT_TRUE(this->fleet.wait_for_retries(1, requests));
  }

  void list_only(const late_copy_server& server) {
    this->fleet.write_entry("i-late", server.entry());
    this->fleet.forget_server("i-plain-1");
    constexpr std::chrono::milliseconds read_by_the_router{1500};
    std::this_thread::sleep_for(read_by_the_router);
  }

  /// Sends requests that run at most once, one after the other.
  /// \return How many were answered with success.
  int call_once_each(late_copy_server& server) {
    int served = 0;
    for (int each = 0; each < requests; ++each) {
      const auto attempt = numbered("order", each);
      const auto answer = this->fleet.call(1, attempt, {});
      if (!answer) {
        ADD_FAILURE() << attempt << " has no answer";
        continue;
      }
      const int status = answer->status;
      const bool promises = status == 503 || status == 429 || status == 408;
      EXPECT_LE(server.runs_of(attempt), promises ? 0 : 1)
          << attempt << " was answered " << status << " " << answer->body;
      if (status == 200) ++served;
    }
    return served;
  }

  small_fleet fleet;
};

// Guards against a late copy of a rejection that is taken for the answer to the
// next send of the same request.
TEST_F(false_rejection_test, a_second_send_gets_no_copy_of_the_first_answer) {
  late_copy_server server([](const std::string& attempt, int send) {
    const auto rejected = rejection + named(attempt) + no_body;
    if (send == 1) return scripted_reply{false, rejected, rejected};
    return scripted_reply{true, run_answer + named(attempt) + body, {}};
  });
  this->list_only(server);
  EXPECT_EQ(this->call_once_each(server), requests);
}

// Guards against a late copy that names no request and is taken for the answer
// to whichever is next on its connection.
TEST_F(false_rejection_test, a_copy_without_a_name_answers_no_other_request) {
  late_copy_server server([](const std::string& attempt, int) {
    return scripted_reply{true, run_answer + named(attempt) + body,
                          rejection + no_body};
  });
  this->list_only(server);
  EXPECT_GT(this->call_once_each(server), 0);
}

// Guards against a server's failure that promises its caller, by its status
// alone, what the server didn't say.
TEST_F(false_rejection_test, a_failure_after_a_run_is_no_promise) {
  for (const std::string status : {"503", "429", "408"}) {
    late_copy_server server([&status](const std::string& attempt, int) {
      return scripted_reply{true,
                            absl::StrCat("HTTP/1.1 ", status, " X\r\n",
                                         named(attempt), proof, body),
                            {}};
    });
    this->list_only(server);
    EXPECT_EQ(this->call_once_each(server), 0);
    for (int each = 0; each < requests; ++each) {
      EXPECT_EQ(server.sends_of(numbered("order", each)), 1);
    }
  }
}

}  // namespace
}  // namespace boragehill::fleet_test
