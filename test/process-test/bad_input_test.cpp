#include <arpa/inet.h>
#include <chrono>
#include <gtest/gtest.h>
#include <httplib.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "process-test/caller.hpp"
#include "process-test/cluster.hpp"

namespace boragehill::process_test {
namespace {

/// A bare connection that sends what no client library would.
class raw_connection {
 public:
  raw_connection(int port, const std::string& bytes) {
    this->socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(this->socket, reinterpret_cast<sockaddr*>(&where),
                      sizeof where),
              0);
    EXPECT_EQ(send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  ~raw_connection() { close(this->socket); }
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  /// Returns whether the far end closes within some seconds.
  bool is_closed_soon() const {
    constexpr int patience_seconds = 10;
    const timeval patience{patience_seconds, 0};
    setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &patience,
               sizeof patience);
    char byte = 0;
    return recv(this->socket, &byte, 1, 0) <= 0 && errno != EAGAIN;
  }

 private:
  int socket = -1;
};

/// Sends a request with headers of one's own and returns the refusal's number.
int number_for(int port, const httplib::Headers& headers,
               const std::string& body) {
  httplib::Client client("127.0.0.1", port);
  const auto answer =
      client.Post("/v1/completions", headers, body, "application/json");
  if (!answer) return -1;
  EXPECT_EQ(answer->get_header_value("Boragehill-Ran"), "no");
  return json_of(answer->body)["error"]["code"].asInt();
}

}  // namespace

// A broken client of one service sends garbage of all kinds. Each piece gets
// its number at once, and a caller beside it notices nothing.
TEST(bad_input_test, is_refused_by_number_and_harms_nobody) {
  constexpr std::size_t over_the_limit = (8U << 20U) + 1;
  cluster own({.models = 1});
  ASSERT_TRUE(own.start());
  const int port = own.callers(1);
  const std::string good = prompt("model-1", "x", false, 2);
  const httplib::Headers known{{"X-Service", "assistant"}};
  EXPECT_EQ(number_for(port, known, "{\"model\":"), 1001);
  EXPECT_EQ(number_for(port, known, std::string(5000, '[')), 1001);
  EXPECT_EQ(number_for(port, known, prompt("no-such", "x")), 1002);
  EXPECT_EQ(number_for(port, {{"X-Service", "no-such"}}, good), 1003);
  EXPECT_EQ(number_for(port, known, std::string(over_the_limit, ' ')), 1005);
  for (const char* deadline : {"-5", "0", "soon", "99999999999999999999"}) {
    EXPECT_EQ(
        number_for(port,
                   {{"X-Service", "assistant"}, {"X-Deadline-Ms", deadline}},
                   good),
        1006)
        << deadline;
  }
  EXPECT_EQ(
      number_for(port, {{"X-Service", "assistant"}, {"X-Service", "assistant"}},
                 good),
      1007);
  EXPECT_EQ(number_for(port,
                       {{"X-Service", "assistant"},
                        {"Idempotency-Key", std::string(2000, 'k')}},
                       good),
            1007);
  EXPECT_EQ(make_call(port, {.body = good}).status, 200);
}

// Callers on a bad line send half a request and then nothing, and something
// that is no peer talks to the control port. Good requests go on meanwhile.
TEST(bad_input_test, slow_and_garbled_connections_hold_nobody_up) {
  constexpr int slow_callers = 60;
  cluster own({.models = 1});
  ASSERT_TRUE(own.start());
  const int port = own.callers(1);
  std::vector<std::unique_ptr<raw_connection>> slow;
  slow.reserve(slow_callers);
  for (int i = 0; i < slow_callers; ++i) {
    slow.push_back(std::make_unique<raw_connection>(
        port, "POST /v1/completions HTTP/1.1\r\nX-Ser"));
  }
  const int control = own.port("router-1 control");
  const raw_connection oversized(control, "\xff\xff\xff\xff{}");
  const raw_connection garbled(control, std::string("\0\0\0\4nope", 8));
  EXPECT_TRUE(oversized.is_closed_soon());
  EXPECT_TRUE(garbled.is_closed_soon());
  const reply got = make_call(port, {.body = prompt("model-1", "x", false, 2)});
  EXPECT_EQ(got.status, 200) << got.body;
  EXPECT_TRUE(own["router-1"].is_running());
}

}  // namespace boragehill::process_test
