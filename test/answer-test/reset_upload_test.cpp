#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "fleet-test/small_fleet.hpp"
#include "platform-test/scripted_server.hpp"

namespace boragehill::fleet_test {
namespace {

/// More than the socket buffers of the router and its server hold.
constexpr std::size_t upload_bytes = 16U << 20U;
/// Answers at the first byte of a request and closes its connection with the
/// rest unread, which resets it.
test::script answer_and_reset(const std::string& type,
                              const std::string& part) {
  return {.bytes =
              "HTTP/1.1 200 OK\r\nBoragehill-Response-Stamp: s\r\n"
              "Content-Type: " +
              type + "\r\n\r\n" + part,
          .then = test::after_bytes::cut,
          .pause = std::chrono::milliseconds(2),
          .read = test::request_read::first_byte};
}

class reset_upload_test : public testing::Test {
 protected:
  reset_upload_test() : fleet(1, 0, 1, 1) {
    constexpr int memory_mb = 1024;
    this->fleet.set_memory(1, memory_mb);
    this->fleet.set_max_body(2 * upload_bytes);
  }

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    this->write("i-sheets", "sheets", this->sheets);
    this->write("i-assist", "assist", this->assist);
    this->fleet.forget_server("i-plain-1");
    constexpr std::chrono::milliseconds read_by_the_router{1500};
    std::this_thread::sleep_for(read_by_the_router);
  }

  void write(const std::string& id, const std::string& service,
             const test::scripted_server& server) {
    this->fleet.write_entry(
        id, R"({"service":")" + service +
                R"(","zone":"zone-1","version":"1","slots":8,)"
                R"("state":"ready","seq":1,"models":[],"addr":")" +
                server.address().to_string() + R"("})");
  }

  /// Expects that an upload gets no complete success, and that a server had it.
  void expect_not_complete(const std::string& path,
                           test::scripted_server& server) {
    const auto attempt = numbered("upload", ++this->calls);
    const auto served = server.requests().size();
    // Equal requests would be held to crash their servers.
    const auto body = attempt + std::string(upload_bytes, 'x');
    const auto got =
        this->fleet.raw(1, "POST " + path +
                               " HTTP/1.1\r\nHost: valves.example\r\n"
                               "Boragehill-Attempt-Id: " +
                               attempt +
                               "\r\nBoragehill-Deadline-Ms: 2000\r\n"
                               "Connection: close\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body);
    const bool complete =
        got.starts_with("HTTP/1.1 2") && got.ends_with("\r\n0\r\n\r\n");
    EXPECT_FALSE(complete) << got;
    EXPECT_FALSE(got.empty());
    EXPECT_GT(server.requests().size(), served);
  }

  test::scripted_server sheets{
      answer_and_reset("text/plain", "part of a body")};
  test::scripted_server assist{
      answer_and_reset("text/event-stream", "id: 1\ndata: part\n\n")};
  int calls = 0;
  small_fleet fleet;
};

// Guards against a part of a body that counts as all of it, since the reset is
// told to the write of the request and the read sees an orderly end.
TEST_F(reset_upload_test, completes_no_answer_that_a_reset_cut_off) {
  for (const char* path : {"/plain/x", "/lookup/x", "/plain/y"}) {
    this->expect_not_complete(path, this->sheets);
  }
}

TEST_F(reset_upload_test, completes_no_stream_that_a_reset_cut_off) {
  this->expect_not_complete("/stream/x", this->assist);
  this->expect_not_complete("/stream/y", this->assist);
}

}  // namespace
}  // namespace boragehill::fleet_test
