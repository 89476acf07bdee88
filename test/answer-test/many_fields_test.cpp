#include <arpa/inet.h>
#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

/// The smallest router's memory.
constexpr long router_memory_kb = 160L * 1024;
constexpr int callers = 250;

/// Answers many connections at once with heads of short fields that never end.
class field_server {
 public:
  field_server() {
    this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&name);
    socklen_t size = sizeof(name);
    EXPECT_EQ(::bind(this->listener, raw, size), 0);
    EXPECT_EQ(::listen(this->listener, callers), 0);
    ::getsockname(this->listener, raw, &size);
    this->address = {"127.0.0.1", ntohs(name.sin_port)};
    this->thread = std::thread([this] { this->serve(); });
  }

  ~field_server() {
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    for (const int peer : this->peers) ::close(peer);
    ::close(this->listener);
  }

  field_server(const field_server&) = delete;
  field_server& operator=(const field_server&) = delete;

  /// \return What it writes to the store, as JSON.
  std::string entry() const {
    return R"({"service":"sheets","zone":"zone-1","version":"1","slots":)" +
           std::to_string(callers) + R"(,"state":"ready","seq":1,"addr":")" +
           this->address.to_string() + R"("})";
  }

 private:
  static constexpr std::size_t piece_bytes = 12000;

  void serve() {
    while (static_cast<int>(this->peers.size()) < callers) {
      const int peer = ::accept(this->listener, nullptr, nullptr);
      if (peer < 0) return;
      this->peers.push_back(peer);
    }
    // Slowly enough that the router keeps up with all of them.
    constexpr int pieces = 10;
    constexpr std::chrono::milliseconds interval{90};
    std::string fields;
    while (fields.size() < piece_bytes) fields += "a: v\r\n";
    for (const int peer : this->peers) this->send(peer, "HTTP/1.1 200 OK\r\n");
    for (int each = 0; each < pieces; ++each) {
      for (const int peer : this->peers) this->send(peer, fields);
      std::this_thread::sleep_for(interval);
    }
  }

  static void send(int peer, const std::string& bytes) {
    ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }

  int listener = -1;
  endpoint address;
  std::vector<int> peers;
  std::thread thread;
};

// Guards against a router that runs out of memory since each short field takes
// many times its bytes.
TEST(many_fields_test, keeps_few_fields_of_each_head) {
  field_server server;
  small_fleet fleet(1, 0, 1, 1);
  constexpr int memory_mb = 160;
  fleet.set_memory(1, memory_mb);
  fleet.set_plain_connections(2 * callers);
  ASSERT_TRUE(fleet.start());
  fleet.write_entry("i-fields", server.entry());
  fleet.forget_server("i-plain-1");
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  std::vector<int> sockets;
  for (int each = 0; each < callers; ++each) {
    sockets.push_back(fleet.connect(1));
    const std::string request =
        "POST /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
        "Boragehill-Attempt-Id: " +
        numbered("fields", each) +
        "\r\nBoragehill-Deadline-Ms: 2500\r\n"
        "Connection: close\r\nContent-Length: 1\r\n\r\n?";
    ::send(sockets.back(), request.data(), request.size(), MSG_NOSIGNAL);
  }
  int failed = 0;
  for (const int each : sockets) {
    std::string got(64, '\0');
    if (::recv(each, got.data(), got.size(), 0) > 0 &&
        got.starts_with("HTTP/1.1 502 ")) {
      ++failed;
    }
    ::close(each);
  }
  EXPECT_EQ(failed, callers);
  EXPECT_LT(fleet["router-1"].status_of("VmHWM"), router_memory_kb);
}

}  // namespace
}  // namespace boragehill::fleet_test
