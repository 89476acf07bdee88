#include "wire/rpc_client.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <optional>
#include <utility>

#include <boragehill/result_code.hpp>

#include "wire/json_rpc_client.hpp"
#include "wire/rpc_pool.hpp"
#include "wire/rpc_socket.hpp"
#include "wire/rpc_traffic.hpp"

namespace boragehill::wire {

namespace {

constexpr int first_result_code = 1000;
constexpr int last_result_code = 8999;
constexpr int rpc_unknown_method = -32601;

/// Gives the server's own code; what isn't one of ours is `peer_refused`.
std::error_code error_of(int code) {
  if (code == rpc_unknown_method) return result_code::unknown_method;
  if (code >= first_result_code && code <= last_result_code) {
    return static_cast<result_code>(code);
  }
  return result_code::peer_refused;
}

/// After a byte may have been sent, whatever breaks leaves open whether the
/// peer got the call; errors of ours about the answer say so by themselves.
std::error_code sent_error(const std::error_code& error) {
  if (error.category() == result_category()) return error;
  return result_code::peer_timeout;
}

}  // namespace

class rpc_client::impl {
 public:
  explicit impl(rpc_client_settings settings)
      : settings(settings), pool(settings.idle_per_peer) {}

  result<Json::Value> call(const endpoint& peer, const std::string& method,
                           const Json::Value& params, milliseconds timeout) {
    const time_point deadline = time_point::clock::now() + timeout;
    std::error_code failure;
    const auto answer = json_rpc_call(
        method, params, [&](const std::string& request, std::string& text) {
          failure = this->exchange(peer, request, text, deadline);
          return !failure;
        });
    switch (answer.outcome) {
      case json_rpc_answer::kind::result:
        return answer.value;
      case json_rpc_answer::kind::error:
        return error_of(answer.code);
      case json_rpc_answer::kind::garbled:
        return result_code::frame_garbled;
      case json_rpc_answer::kind::not_exchanged:
        break;
    }
    if (failure) return failure;
    return result_code::frame_garbled;
  }

  rpc_client_settings settings;
  detail::rpc_traffic traffic;
  asio::io_context context;
  detail::rpc_pool pool;

 private:
  std::error_code exchange(const endpoint& peer, const std::string& request,
                           std::string& answer, time_point deadline) {
    if (request.size() > this->settings.max_frame) {
      return result_code::frame_too_large;
    }
    auto kept = this->pool.take(peer);
    if (!kept) {
      return this->exchange_fresh(peer, request, answer, deadline,
                                  result_code::peer_unreachable);
    }
    const auto error = this->exchange_on(*kept, request, answer, deadline);
    if (!error) {
      this->pool.put(peer, std::move(*kept));
      return {};
    }
    const bool closed =
        error != asio::error::timed_out && !kept->answer_begun();
    if (!closed) return sent_error(error);
    // A peer that restarted or found the connection idle closes it while our
    // request is on the way; it shows as a closed connection without a byte of
    // the answer. One more try on a fresh connection is right, since every
    // control method is idempotent. If that can't be had, the first try may
    // still have been delivered, so "unreachable" would be untrue.
    return this->exchange_fresh(peer, request, answer, deadline,
                                result_code::peer_timeout);
  }

  std::error_code exchange_fresh(const endpoint& peer,
                                 const std::string& request,
                                 std::string& answer, time_point deadline,
                                 result_code without_connection) {
    const time_point connect_end = std::min(
        deadline, time_point::clock::now() + this->settings.connect_timeout);
    auto fresh = detail::rpc_socket::connect(this->context, peer, connect_end);
    if (!fresh) return without_connection;
    const auto error =
        this->exchange_on(fresh.value(), request, answer, deadline);
    if (error) return sent_error(error);
    this->pool.put(peer, std::move(fresh).value());
    return {};
  }

  std::error_code exchange_on(detail::rpc_socket& socket,
                              const std::string& request, std::string& answer,
                              time_point deadline) {
    const auto error = socket.send(request, this->traffic, deadline);
    if (error) return error;
    return socket.receive(this->settings.max_frame, answer, this->traffic,
                          deadline);
  }
};

rpc_client::rpc_client(rpc_client_settings settings)
    : inner(std::make_unique<impl>(settings)) {}

rpc_client::~rpc_client() = default;

result<Json::Value> rpc_client::call(const endpoint& peer,
                                     const std::string& method,
                                     const Json::Value& params,
                                     milliseconds timeout) {
  return this->inner->call(peer, method, params, timeout);
}

void rpc_client::forget(const endpoint& peer) {
  this->inner->pool.forget(peer);
}

std::uint64_t rpc_client::bytes_in() const {
  return this->inner->traffic.in;
}

std::uint64_t rpc_client::bytes_out() const {
  return this->inner->traffic.out;
}

}  // namespace boragehill::wire
