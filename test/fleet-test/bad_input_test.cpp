#include <array>
#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "fleet-test/small_fleet.hpp"
#include "fleet-test/template.hpp"

namespace boragehill::fleet_test {
namespace {

std::string status_line(const std::string& answer) {
  return answer.substr(0, answer.find("\r\n"));
}

class bad_input_test : public testing::Test {
 protected:
  bad_input_test() : fleet(1, 1, 1, 1) {}

  void SetUp() override { ASSERT_TRUE(this->fleet.start()); }

  /// Another caller's request goes well beside it all.
  void TearDown() override {
    const auto answer = this->fleet.call(1, "well", {});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(this->fleet.runs_of("well"), 1);
  }

  small_fleet fleet;
};

TEST_F(bad_input_test, gets_its_clear_answer) {
  const std::string host = "Host: valves.example\r\n";
  const std::map<std::string, std::string> cases{
      {"nonsense\r\n\r\n", "400"},
      {"POST /plain/x HTTP/1.1\r\n" + host +
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
       "400"},
      {"POST /plain/x HTTP/1.1\r\n" + host + "Content-Length : 2\r\n\r\nhi",
       "400"},
      {"POST /plain/x HTTP/1.1\r\n" + host +
           "X Y: v\r\nContent-Length: 2\r\n\r\nhi",
       "400"},
      {"POST /plain/x HTTP/1.1\r\n X: v\r\n" + host +
           "Content-Length: 2\r\n\r\nhi",
       "400"},
      {"POST /plain/x HTTP/1.1\r\n" + host +
           "Boragehill-Deadline-Ms: soon\r\n" +
           "Connection: close\r\nContent-Length: 0\r\n\r\n",
       "400"},
      {"GET /nowhere/ HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n",
       "404"},
      {"GET /plain/x HTTP/1.1\r\nHost: other.example\r\n"
       "Connection: close\r\n\r\n",
       "404"},
      {"POST /plain/x HTTP/1.1\r\n" + host + "Content-Length: 9999\r\n\r\n",
       "413"},
      {"GET /plain/x HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n",
       "431"},
      {"GET /plain/x HTTP/1.1\r\nHost: val", "408"},
      {"POST /plain/x HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nabc",
       "408"}};
  for (const auto& [bytes, status] : cases) {
    EXPECT_NE(status_line(this->fleet.raw(1, bytes)).find(status),
              std::string::npos)
        << bytes.substr(0, 60);
  }
}

TEST_F(bad_input_test, names_a_model_that_nobody_has) {
  // A caller misspells a model. Nobody will ever hold it, so the caller is
  // told at once and not held for its whole deadline.
  const auto begin = std::chrono::steady_clock::now();
  const auto answer = this->fleet.call(1, "typo", "model-none", "/stream/x");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 503);
  EXPECT_NE(answer->body.find("1002"), std::string::npos) << answer->body;
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(1));
}

TEST_F(bad_input_test, names_an_adapter_that_nobody_has) {
  // Callers make up adapters of a model that stands. Each was kept as one that
  // is asked for, and took a place of those that exist.
  for (const char* name : {"model-1/a4", "model-1/", "model-1/a1/b"}) {
    const auto answer =
        this->fleet.call(1, std::string("made-up-") + name, name, "/stream/x");
    ASSERT_TRUE(answer) << name;
    const bool refused =
        answer->status == 503 && answer->body.find("1002") != std::string::npos;
    EXPECT_TRUE(refused || answer->status == 200) << name << answer->body;
  }
  const auto unknown = this->fleet.call(1, "a4", "model-1/a4", "/stream/x");
  ASSERT_TRUE(unknown);
  EXPECT_EQ(unknown->status, 503);
  EXPECT_NE(unknown->body.find("1002"), std::string::npos) << unknown->body;
}

TEST_F(bad_input_test, bodies_that_never_end_leave_room_for_others) {
  // Callers begin to send large bodies and stop in the middle, on hundreds of
  // connections. Each was kept, up to the limit of a body; together they used
  // up the router's memory, and it was killed with all requests on it.
  constexpr int callers = 60;
  std::vector<int> sockets;
  int refused = 0;
  for (int each = 0; each < callers; ++each) {
    sockets.push_back(this->fleet.connect(1));
    const std::string part =
        "POST /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
        "Boragehill-Attempt-Id: big\r\nContent-Length: 4096\r\n\r\n" +
        std::string(4000, 'x');
    ::send(sockets.back(), part.data(), part.size(), MSG_NOSIGNAL);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  for (const int each : sockets) {
    std::array<char, 512> buffer{};
    const auto size = ::recv(each, buffer.data(), buffer.size(), MSG_DONTWAIT);
    const std::string got(buffer.data(), size > 0 ? size : 0);
    if (got.starts_with("HTTP/1.1 503")) ++refused;
  }
  EXPECT_GT(refused, 10);
  EXPECT_LT(refused, callers - 10);
  for (const int each : sockets) ::close(each);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const auto other = this->fleet.call(1, "after", {});
  ASSERT_TRUE(other);
  EXPECT_EQ(other->status, 200) << other->body;
}

TEST_F(bad_input_test, cannot_smuggle_what_the_system_sets) {
  const auto answer = this->fleet.raw(
      1,
      "POST /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
      "Boragehill-Attempt-Id: smuggler\r\n"
      "Boragehill-Expect-Instance: i-other\r\nConnection: close\r\n"
      "Content-Length: 2\r\n\r\nhi");
  EXPECT_NE(status_line(answer).find("200"), std::string::npos) << answer;
  EXPECT_EQ(this->fleet.runs_of("smuggler"), 1);
}

TEST_F(bad_input_test, two_requests_at_once_on_a_connection_get_two_answers) {
  const std::string one =
      "POST /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
      "Boragehill-Attempt-Id: first\r\nContent-Length: 1\r\n\r\na";
  const std::string two =
      "POST /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
      "Boragehill-Attempt-Id: second\r\nConnection: close\r\n"
      "Content-Length: 1\r\n\r\nb";
  const auto got = this->fleet.raw(1, one + two);
  const auto first = got.find("plain answer to a");
  const auto second = got.find("plain answer to b");
  ASSERT_NE(first, std::string::npos) << got;
  ASSERT_NE(second, std::string::npos) << got;
  EXPECT_LT(first, second);
}

TEST(template_test, fills_in_names) {
  EXPECT_EQ(filled("a {{x.y}} {{z}}.", {{"x.y", "1"}}), "a 1 .");
}

TEST(template_test, leaves_sections_whose_names_have_values) {
  EXPECT_EQ(filled("{{#x}}a {{x}} {{/x}}{{#y}}b {{x}}{{/y}}c", {{"x", "1"}}),
            "a 1 c");
}

}  // namespace
}  // namespace boragehill::fleet_test
