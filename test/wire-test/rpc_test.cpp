#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <stdexcept>
#include <thread>
#include <vector>

#include <boragehill/result_code.hpp>

#include "fake_peer.hpp"
#include "wire/rpc_client.hpp"
#include "wire/rpc_server.hpp"

namespace boragehill::wire {
namespace {

constexpr milliseconds patient{5000};
constexpr milliseconds brief{100};

Json::Value numbered(int number) {
  Json::Value value;
  value["number"] = number;
  return value;
}

result<Json::Value> echo(const Json::Value& params) {
  return params;
}

rpc_server_settings on_loopback() {
  return {.listen = {"127.0.0.1", 0},
          .max_frame = 4096,
          .frame_timeout = milliseconds(200)};
}

class rpc_test : public testing::Test {
 protected:
  void start() {
    this->server.add("echo", echo);
    ASSERT_TRUE(this->server.start());
  }

  std::error_code call_error(const endpoint& peer, const std::string& method,
                             milliseconds timeout = patient) {
    const auto answer = this->client.call(peer, method, numbered(1), timeout);
    return answer ? std::error_code() : answer.error();
  }

  /// Sends bytes on a connection of their own, which must then be closed
  /// while the server serves on.
  void expect_closed_by(std::string_view bytes) {
    fake_peer peer;
    peer.connect(this->server.bound());
    peer.send(bytes);
    EXPECT_EQ(peer.receive(), "");
    EXPECT_EQ(this->call_error(this->server.bound(), "echo"),
              std::error_code());
  }

  rpc_server server{on_loopback()};
  rpc_client client{{}};
};

TEST_F(rpc_test, a_call_gives_the_result) {
  this->start();
  for (int i = 0; i < 3; ++i) {
    const auto answer =
        this->client.call(this->server.bound(), "echo", numbered(i), patient);
    ASSERT_TRUE(answer) << answer.error();
    EXPECT_EQ(answer.value(), numbered(i));
  }
  EXPECT_GT(this->client.bytes_out(), 0u);
  EXPECT_EQ(this->client.bytes_out(), this->server.bytes_in());
}

TEST_F(rpc_test, many_threads_get_their_own_answers) {
  this->start();
  std::atomic<int> right{0};
  std::vector<std::thread> callers;
  callers.reserve(8);
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 50; ++i) {
        const auto sent = numbered(caller * 1000 + i);
        const auto answer =
            this->client.call(this->server.bound(), "echo", sent, patient);
        if (answer && answer.value() == sent) ++right;
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(right, 400);
}

TEST_F(rpc_test, errors_travel_as_their_codes) {
  this->server.add("grantless", [](const Json::Value&) {
    return result<Json::Value>(result_code::no_grant);
  });
  this->server.add("throwing", [](const Json::Value&) -> result<Json::Value> {
    throw std::runtime_error("broken");
  });
  this->start();
  const endpoint bound = this->server.bound();
  EXPECT_EQ(this->call_error(bound, "grantless"), result_code::no_grant);
  EXPECT_EQ(this->call_error(bound, "nothing"), result_code::unknown_method);
  EXPECT_EQ(this->call_error(bound, "throwing"), result_code::peer_refused);
  EXPECT_EQ(this->call_error(bound, "echo"), std::error_code());
}

TEST_F(rpc_test, an_address_in_use_is_an_error) {
  this->start();
  rpc_server other({.listen = this->server.bound()});
  const auto started = other.start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error(), result_code::address_in_use);
}

TEST_F(rpc_test, bad_frames_close_only_their_connection) {
  // A user would see every request of a router fail at once.
  // One peer sends a frame that is too large, garbled or never ends.
  // Cause: a peer's bytes that reach further than its own connection.
  this->start();
  this->expect_closed_by(std::string("\x7f\xff\xff\xff", 4));
  this->expect_closed_by(detail::rpc_frame(
      "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"echo\",\"params\":{}}" +
      std::string(5000, ' ')));
  this->expect_closed_by(std::string("\0\0\0\0", 4));
  this->expect_closed_by(detail::rpc_frame("not JSON"));
  this->expect_closed_by(detail::rpc_frame("{\"method\":1}"));
  this->expect_closed_by(detail::rpc_frame(std::string(4000, '[')));
  this->expect_closed_by(std::string("\0\0", 2));
  this->expect_closed_by(std::string("\0\0\0\x09half", 8));
}

TEST_F(rpc_test, a_trickling_sender_is_closed) {
  // A user would see new peers refused although the network is idle.
  // A peer sends a byte now and then and never ends its frame.
  // Cause: a timer that each byte starts anew.
  this->start();
  fake_peer peer;
  peer.connect(this->server.bound());
  const std::string frame = detail::rpc_frame(std::string(100, ' '));
  const auto begin = time_point::clock::now();
  EXPECT_THROW(
      {
        for (const char byte : frame) {
          peer.send({&byte, 1});
          std::this_thread::sleep_for(milliseconds(50));
        }
      },
      std::system_error);
  EXPECT_LT(time_point::clock::now() - begin, milliseconds(3000));
}

TEST_F(rpc_test, a_refused_connection_is_unreachable) {
  fake_peer peer;
  const endpoint gone = peer.listen();
  peer.close();
  EXPECT_EQ(this->call_error(gone, "echo"), result_code::peer_unreachable);
}

TEST_F(rpc_test, a_frozen_peer_times_out_by_the_deadline) {
  // A user would see requests hang with a router that is up and idle.
  // The peer's process is stopped; its system still takes connections.
  // Cause: a wait for the answer that has no end.
  fake_peer peer;
  const endpoint frozen = peer.listen();
  const auto begin = time_point::clock::now();
  EXPECT_EQ(this->call_error(frozen, "echo", brief), result_code::peer_timeout);
  const auto taken = time_point::clock::now() - begin;
  EXPECT_GE(taken, brief);
  EXPECT_LT(taken, brief + milliseconds(1000));
}

TEST_F(rpc_test, a_late_answer_does_not_reach_the_next_call) {
  // A caller would get the answer to someone else's request.
  // A call times out; its answer comes while the next call waits.
  // Cause: a connection that is kept although an answer is owed on it.
  this->server.add("slow", [](const Json::Value&) {
    std::this_thread::sleep_for(brief * 2);
    return result<Json::Value>(numbered(99));
  });
  this->start();
  const endpoint bound = this->server.bound();
  EXPECT_EQ(this->call_error(bound, "slow", brief), result_code::peer_timeout);
  const auto answer = this->client.call(bound, "echo", numbered(2), patient);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.value(), numbered(2));
}

/// Answers one echo call, so that the client keeps the connection.
void answer_one(fake_peer& peer) {
  peer.accept();
  peer.receive();
  peer.send(detail::rpc_frame(
      "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"number\":1}}"));
}

TEST_F(rpc_test, a_kept_connection_that_breaks_is_replaced_once) {
  // A user would see a refusal each time a peer has restarted.
  // The peer closes a kept connection while the next call is on its way.
  // Cause: the client can't know before it sends that the peer closes.
  fake_peer peer;
  const endpoint listening = peer.listen();
  auto answers = std::async(std::launch::async, [&] {
    answer_one(peer);
    peer.receive();
    peer.drop();
    answer_one(peer);
  });
  EXPECT_EQ(this->call_error(listening, "echo"), std::error_code());
  EXPECT_EQ(this->call_error(listening, "echo"), std::error_code());
  answers.get();
}

TEST_F(rpc_test, a_call_that_may_be_delivered_is_never_unreachable) {
  // A caller would be told "not run" of a call that ran.
  // The peer takes a call on a kept connection and dies; the fresh
  // connection for the second try is refused.
  // Cause: the second try's refusal taken for that of the whole call.
  fake_peer peer;
  const endpoint listening = peer.listen();
  auto answers = std::async(std::launch::async, [&] {
    answer_one(peer);
    peer.receive();
    peer.close();
  });
  EXPECT_EQ(this->call_error(listening, "echo"), std::error_code());
  EXPECT_EQ(this->call_error(listening, "echo"), result_code::peer_timeout);
  answers.get();
}

TEST_F(rpc_test, connections_over_the_limit_and_idle_ones_are_closed) {
  rpc_server small({.listen = {"127.0.0.1", 0},
                    .max_connections = 1,
                    .idle_timeout = brief});
  ASSERT_TRUE(small.start());
  fake_peer first;
  fake_peer second;
  const auto begin = time_point::clock::now();
  first.connect(small.bound());
  second.connect(small.bound());
  EXPECT_EQ(second.receive(), "");
  EXPECT_EQ(first.receive(), "");
  EXPECT_GE(time_point::clock::now() - begin, brief);
}

TEST_F(rpc_test, a_full_ring_answers_busy) {
  std::promise<void> release;
  rpc_server small(
      {.listen = {"127.0.0.1", 0}, .worker_threads = 1, .queue = 1});
  small.add("wait", [gate = release.get_future().share()](const Json::Value&) {
    gate.wait();
    return result<Json::Value>(numbered(1));
  });
  ASSERT_TRUE(small.start());
  std::atomic<int> busy{0};
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&] {
      const auto error = this->call_error(small.bound(), "wait");
      if (error == result_code::server_busy) ++busy;
      if (!error) ++answered;
    });
  }
  const auto end = time_point::clock::now() + patient;
  while (busy < 4 && time_point::clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  release.set_value();
  for (std::thread& caller : callers) caller.join();
  EXPECT_GE(busy, 4);
  EXPECT_EQ(busy + answered, 6);
}

TEST_F(rpc_test, stop_finishes_calls_under_way) {
  // A user would see requests cut off by a planned stop.
  // The server is told to stop while a handler works.
  // Cause: connections that are closed before the answer is sent.
  std::promise<void> entered;
  this->server.add("slow", [&entered](const Json::Value&) {
    entered.set_value();
    std::this_thread::sleep_for(brief);
    return result<Json::Value>(numbered(7));
  });
  this->start();
  auto answer = std::async(std::launch::async, [&] {
    return this->client.call(this->server.bound(), "slow", numbered(1),
                             patient);
  });
  entered.get_future().wait();
  this->server.stop();
  const auto got = answer.get();
  ASSERT_TRUE(got) << got.error();
  EXPECT_EQ(got.value(), numbered(7));
  EXPECT_EQ(this->call_error(this->server.bound(), "echo"),
            result_code::peer_unreachable);
}

}  // namespace
}  // namespace boragehill::wire
