#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"
#include "fleet-test/whole_stream.hpp"
#include "soak/fault_proxy.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

constexpr int deadline_ms = 9000;
/// Of a stream with eight events.
constexpr auto event_gap = R"({"kind":"slow_events","ms":150})";
constexpr milliseconds some_events{500};
constexpr milliseconds port_open_for{300};
/// That the streams of a test need.
constexpr double retries = 4;
const std::string resumable = "/stream/r/";
const std::string run_once = "/stream/";

/// Connections to a server that carry no request.
class idle_connections {
 public:
  idle_connections(const endpoint& server, int count) {
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(server.address), server.port);
    for (int each = 0; each < count; ++each) {
      this->sockets.emplace_back(this->context).connect(address);
    }
  }

 private:
  asio::io_context context;
  std::vector<asio::ip::tcp::socket> sockets;
};

/// A fleet whose processes reach each other through proxies, so that the port
/// of a worker can be closed later than its connections.
class proxied_fleet {
 public:
  explicit proxied_fleet(int workers, int plains = 1)
      : workers(workers),
        plains(plains),
        fleet(1, workers, plains, workers, 0, true) {}

  void start() {
    std::vector<std::string> names{"store"};
    for (int each = 1; each <= this->workers; ++each) {
      names.push_back(numbered("worker", each));
    }
    for (int each = 1; each <= this->plains; ++each) {
      names.push_back(numbered("plain", each));
    }
    for (const auto& each : names) {
      auto& proxy = this->proxies[each] = std::make_unique<soak::fault_proxy>(
          this->fleet.proxy_address(each), this->fleet.real_address(each));
      ASSERT_TRUE(proxy->start());
    }
    ASSERT_TRUE(this->fleet.start());
    ASSERT_TRUE(this->fleet.wait_for_retries(1, retries, "assist"));
    for (int each = 1; each <= this->workers; ++each) {
      this->fleet.fault(numbered("worker", each), event_gap);
    }
  }

  /// Kills a server, whose port takes connections until `close_port`.
  void kill(const std::string& server) {
    this->proxies.at(server)->stop_accepting();
    this->fleet[server].kill();
  }
  /// Resets the connections that the port of a killed server has taken.
  void close_port(const std::string& server) { this->proxies.erase(server); }
  /// Kills a server whose port is closed late.
  void kill_slowly(const std::string& server) {
    this->kill(server);
    std::this_thread::sleep_for(port_open_for);
    this->close_port(server);
  }
  /// Resets all connections to a worker.
  void reset(const std::string& worker) {
    this->proxies.at(worker)->set(soak::link_fault::reset);
  }

  /// Sends a request for model-1, which only worker-1 holds.
  std::future<httplib::Result> send(const std::string& attempt,
                                    const std::string& path) {
    return std::async(std::launch::async, [this, attempt, path] {
      return this->fleet.call(1, attempt, "model-1", path + attempt,
                              deadline_ms);
    });
  }

  small_fleet& operator*() { return this->fleet; }

 private:
  int workers;
  int plains;
  small_fleet fleet;
  std::map<std::string, std::unique_ptr<soak::fault_proxy>> proxies;
};

/// Kills the only worker that holds the model of two open streams.
void expect_streams_to_outlive_worker_1(proxied_fleet& fleet) {
  auto first = fleet.send("first", resumable);
  auto second = fleet.send("second", resumable);
  std::this_thread::sleep_for(some_events);
  fleet.kill_slowly("worker-1");
  expect_whole_stream(first.get(), "first");
  expect_whole_stream(second.get(), "second");
}

// Guards against a second run that is spent on a server that was just killed:
// its listening socket is closed after those of its streams.
TEST(broken_stream_test, goes_on_when_the_port_is_closed_after_the_stream) {
  constexpr int keep_alive_s = 10;
  small_fleet fleet(1, 2, 1, 2, 0, false, keep_alive_s);
  ASSERT_TRUE(fleet.start());
  ASSERT_TRUE(fleet.wait_for_retries(1, retries, "assist"));
  for (const char* worker : {"worker-1", "worker-2"}) {
    fleet.fault(worker, event_gap);
  }
  // They are closed between the stream and the listening socket.
  constexpr int between = 200;
  const idle_connections idle(fleet.real_address("worker-1"), between);
  std::map<std::string, std::future<httplib::Result>> streams;
  for (const char* attempt : {"one", "two", "three", "four"}) {
    streams[attempt] = std::async(std::launch::async, [&fleet, attempt] {
      // Identical requests would be taken for the cause of the crash.
      return fleet.call(1, attempt, "model-1", resumable + attempt,
                        deadline_ms);
    });
  }
  std::this_thread::sleep_for(some_events);
  fleet["worker-1"].kill();
  for (auto& [attempt, stream] : streams) {
    expect_whole_stream(stream.get(), attempt);
  }
}

// Guards against the same, whatever the order in which a kernel closes sockets.
TEST(broken_stream_test, goes_on_while_the_port_of_a_killed_server_accepts) {
  proxied_fleet fleet(2);
  ASSERT_NO_FATAL_FAILURE(fleet.start());
  expect_streams_to_outlive_worker_1(fleet);
}

// Guards against requests that are lost at a server where others' responses
// broke off a moment before.
TEST(broken_stream_test, lets_no_other_request_run_into_the_closing_port) {
  proxied_fleet fleet(2);
  ASSERT_NO_FATAL_FAILURE(fleet.start());
  auto stream = fleet.send("breaks", resumable);
  std::this_thread::sleep_for(some_events);
  fleet.kill("worker-1");
  std::this_thread::sleep_for(milliseconds(20));
  auto other = fleet.send("other", run_once);
  std::this_thread::sleep_for(port_open_for);
  fleet.close_port("worker-1");
  expect_whole_stream(stream.get(), "breaks");
  expect_whole_stream(other.get(), "other");
}

// Guards against slots of a server that was just killed that are given to
// waiting requests, which are lost there.
TEST(broken_stream_test, gives_no_slot_of_a_killed_server_to_waiting_requests) {
  proxied_fleet fleet(2);
  ASSERT_NO_FATAL_FAILURE(fleet.start());
  // Else the model is at a second worker before the first is killed.
  (*fleet).fault("worker-2", R"({"kind":"slow_loads","ms":1500})");
  std::map<std::string, std::future<httplib::Result>> requests;
  constexpr int slots = 8;
  constexpr int more = 12;
  for (int each = 1; each <= slots + more; ++each) {
    const auto attempt = numbered("request", each);
    requests[attempt] = fleet.send(attempt, run_once);
    std::this_thread::sleep_for(milliseconds(5));
  }
  std::this_thread::sleep_for(some_events);
  fleet.kill_slowly("worker-1");
  int lost = 0;
  for (auto& [attempt, request] : requests) {
    const auto answer = request.get();
    if (answer && answer->status != 502) continue;
    ++lost;
    EXPECT_EQ((*fleet).all_runs()[attempt], 1) << attempt;
  }
  EXPECT_GE(lost, slots);
}

// Guards against a second run on a server whose end lies unread beside that of
// the first.
TEST(broken_stream_test, goes_on_at_none_of_several_servers_that_end_together) {
  proxied_fleet fleet(1, 3);
  ASSERT_NO_FATAL_FAILURE(fleet.start());
  constexpr int lookups = 12;
  ASSERT_TRUE((*fleet).wait_for_retries(1, lookups));
  for (const char* plain : {"plain-1", "plain-2", "plain-3"}) {
    (*fleet).fault(plain, R"({"kind":"slow","ms":600})");
  }
  std::map<std::string, std::future<httplib::Result>> requests;
  for (int each = 1; each <= lookups; ++each) {
    const auto attempt = numbered("lookup", each);
    requests[attempt] = std::async(std::launch::async, [&fleet, attempt] {
      return (*fleet).call(1, attempt, {}, "/lookup/" + attempt, deadline_ms);
    });
  }
  std::this_thread::sleep_for(milliseconds(200));
  auto& router = (*fleet)["router-1"];
  router.signal(SIGSTOP);
  fleet.kill("plain-1");
  fleet.kill("plain-2");
  std::this_thread::sleep_for(milliseconds(20));
  router.signal(SIGCONT);
  std::this_thread::sleep_for(milliseconds(100));
  fleet.close_port("plain-1");
  fleet.close_port("plain-2");
  for (auto& [attempt, request] : requests) {
    const auto answer = request.get();
    ASSERT_TRUE(answer) << attempt;
    EXPECT_EQ(answer->status, 200) << attempt << ": " << answer->body;
  }
}

// Guards against a second run on a server that was just killed and can't be
// probed.
TEST(broken_stream_test, goes_on_elsewhere_if_there_is_no_status_check) {
  proxied_fleet fleet(2);
  ASSERT_NO_FATAL_FAILURE(fleet.start());
  constexpr bool status_check = false;
  (*fleet).configure(2, "/plain/", std::nullopt, 0, status_check);
  for (int tries = 0; tries < 250 && (*fleet).catalog_version(1) < 2; ++tries) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  ASSERT_EQ((*fleet).catalog_version(1), 2);
  expect_streams_to_outlive_worker_1(fleet);
}

// Guards against one crash that counts once for each of several requests that
// are alike, which are then refused for crashing servers.
TEST(broken_stream_test, goes_on_where_requests_that_are_alike_break_together) {
  proxied_fleet fleet(2);
  ASSERT_NO_FATAL_FAILURE(fleet.start());
  const auto alike = resumable + "alike";
  std::map<std::string, std::future<httplib::Result>> streams;
  for (const char* attempt : {"one", "two", "three", "four"}) {
    streams[attempt] = std::async(std::launch::async, [&fleet, attempt, alike] {
      return (*fleet).call(1, attempt, "model-1", alike, deadline_ms);
    });
  }
  std::this_thread::sleep_for(some_events);
  fleet.kill_slowly("worker-1");
  for (auto& [attempt, stream] : streams) {
    expect_whole_stream(stream.get(), attempt);
  }
}

// Guards against streams that wait for a status check that never works, though
// their server is alive.
TEST(broken_stream_test, goes_on_where_only_the_status_check_fails) {
  proxied_fleet fleet(1);
  ASSERT_NO_FATAL_FAILURE(fleet.start());
  (*fleet).fault("worker-1", R"({"kind":"lose_checks"})");
  auto stream = fleet.send("breaks", resumable);
  std::this_thread::sleep_for(some_events);
  fleet.reset("worker-1");
  expect_whole_stream(stream.get(), "breaks");
}

}  // namespace
}  // namespace boragehill::fleet_test
