#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <gtest/gtest.h>
#include <httplib.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "fleet-test/small_fleet.hpp"
#include "fleet-test/wide_server.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int memory_mb = 160;
constexpr int kilobytes_per_mb = 1024;
/// Of the machine's memory.
constexpr double most_memory_share = 0.75;
constexpr int stalled_callers = 2000;
constexpr int reading_callers = 50;
constexpr milliseconds objective{500};
/// The readers are there before the others come, and after.
constexpr milliseconds reading_time{7000};
constexpr milliseconds between_stalled{1};
constexpr std::size_t long_response = 8U << 20U;

class slow_reader_test : public testing::Test {
 protected:
  slow_reader_test() : fleet(1, 1, 0, 1) {
    this->fleet.set_memory(1, memory_mb);
    this->fleet.set_plain_connections(10 * stalled_callers);
  }

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    const endpoint address{"127.0.9.9", this->fleet.caller_address(1).port};
    this->server =
        std::make_unique<wide_server>(address, "i-wide", long_response);
    this->fleet.write_entry("i-wide", this->server->entry());
    const auto until = steady_clock::now() + milliseconds(5000);
    const auto first = this->caller();
    while (!this->read_one(*first) && steady_clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  void TearDown() override {
    for (const int each : this->stalled) ::close(each);
  }

  /// Sends a request for a long response that is never read.
  void stall_one() {
    const int opened = ::socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_GE(opened, 0);
    this->stalled.push_back(opened);
    // Before it connects: otherwise the kernel's buffers take megabytes of each
    // response, and the router only copies them.
    const int least = 4096;
    ::setsockopt(opened, SOL_SOCKET, SO_RCVBUF, &least, sizeof(least));
    const auto router = this->fleet.caller_address(1);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(router.port);
    ::inet_pton(AF_INET, router.address.c_str(), &to.sin_addr);
    ASSERT_EQ(
        ::connect(opened, reinterpret_cast<const sockaddr*>(&to), sizeof(to)),
        0);
    const std::string request =
        "POST /plain/long HTTP/1.1\r\nHost: valves.example\r\n"
        "Boragehill-Attempt-Id: stalled-" +
        std::to_string(this->stalled.size()) + "\r\nContent-Length: 0\r\n\r\n";
    ASSERT_EQ(::send(opened, request.data(), request.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(request.size()));
  }

  /// \return A caller that keeps its connection, so that it is served also
  ///     while the router takes no new ones.
  std::unique_ptr<httplib::Client> caller() {
    const auto address = this->fleet.caller_address(1);
    auto made =
        std::make_unique<httplib::Client>(address.address, address.port);
    made->set_keep_alive(true);
    return made;
  }

  /// \return True if a request was served in time.
  bool read_one(httplib::Client& client) {
    const auto began = steady_clock::now();
    const auto answer = client.Post(
        "/plain/short",
        {{"Host", "valves.example"},
         {"Boragehill-Attempt-Id", "read-" + std::to_string(++this->calls)}},
        "", "text/plain");
    return answer && answer->status == 200 && answer->body == "short" &&
           steady_clock::now() - began <= objective;
  }

  small_fleet fleet;
  std::unique_ptr<wide_server> server;
  std::vector<int> stalled;
  std::atomic<int> calls = 0;
};

// Guards against callers that stop reading and fill the process's memory, so
// that it is killed with the requests of all others.
TEST_F(slow_reader_test, callers_that_read_are_served_beside_many_that_do_not) {
  std::atomic<int> in_time = 0;
  std::atomic<int> late = 0;
  std::vector<std::thread> readers;
  readers.reserve(reading_callers);
  const auto until = steady_clock::now() + reading_time;
  for (int each = 0; each < reading_callers; ++each) {
    readers.emplace_back([&] {
      const auto caller = this->caller();
      while (steady_clock::now() < until) {
        this->read_one(*caller) ? ++in_time : ++late;
        std::this_thread::sleep_for(milliseconds(100));
      }
    });
  }
  for (int each = 0; each < stalled_callers; ++each) {
    this->stall_one();
    std::this_thread::sleep_for(between_stalled);
  }
  long most_kilobytes = 0;
  while (steady_clock::now() < until) {
    most_kilobytes =
        std::max(most_kilobytes, this->fleet["router-1"].status_of("VmRSS"));
    std::this_thread::sleep_for(milliseconds(20));
  }
  for (auto& each : readers) each.join();
  RecordProperty("most_megabytes",
                 std::to_string(most_kilobytes / kilobytes_per_mb));
  RecordProperty("in_time", std::to_string(in_time));
  EXPECT_EQ(late, 0);
  EXPECT_GT(in_time, reading_callers);
  EXPECT_LT(most_kilobytes, most_memory_share * memory_mb * kilobytes_per_mb);
  EXPECT_TRUE(this->fleet["router-1"].is_running());
}

}  // namespace
}  // namespace boragehill::fleet_test
