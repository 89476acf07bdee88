#ifndef BORAGEHILL_ROUTER_CALLER_LISTENER_HPP
#define BORAGEHILL_ROUTER_CALLER_LISTENER_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include <boragehill/endpoint.hpp>
#include <boragehill/refusal.hpp>
#include <boragehill/result.hpp>

#include "router/accepted_request.hpp"
#include "router/driver_parts.hpp"
#include "router/request_driver.hpp"
#include "router/request_reader.hpp"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace boragehill::kernel {
class http_server;
}

namespace boragehill::router {

class conviction_book;
class published_config;
class request_log;

/// How the callers' listener is set up.
struct listener_limits {
  endpoint listen;
  std::size_t threads = 256;
  std::size_t waiting = 512;
  std::size_t max_body_bytes = 8u << 20;
  milliseconds default_deadline{30000};

  bool operator==(const listener_limits&) const = default;
};

/// The HTTP server that callers and the balancer speak to.
class caller_listener {
 public:
  caller_listener(listener_limits limits, driver_parts& parts,
                  published_config& config, conviction_book& convictions,
                  request_log& log);
  ~caller_listener();

  /// Binds and listens. Errors: address_in_use.
  result<void> start();

  /// Lets `/readyz` fail, so that the balancer turns away; requests are still
  /// served.
  void begin_lame_duck() { this->lame_duck = true; }

  /// Refuses new requests; those in flight go on.
  void begin_drain() { this->draining = true; }

  /// Closes the listener and waits for the requests in flight.
  void stop();

  /// Returns the requests in flight.
  std::int64_t in_flight() const { return this->running; }

  /// Returns why requests are refused now, or nothing.
  std::optional<refusal> unready() const;

 private:
  using reading = std::variant<accepted_request, refusal>;
  using reader = std::function<reading(const httplib::Request&)>;

  void add_routes();
  void add_service_routes();
  void serve(const httplib::Request& raw, httplib::Response& response,
             const reader& read);
  void serve(accepted_request request, caller_watch caller,
             httplib::Response& response);
  void list_models(const httplib::Request& raw, httplib::Response& response);
  void write(const whole_answer& answer, httplib::Response& response);
  void write(const std::shared_ptr<live_answer>& answer,
             httplib::Response& response);
  void write(const refusal& refused, httplib::Response& response);
  void explain_failure(const httplib::Request& raw,
                       httplib::Response& response);

  listener_limits limits;
  driver_parts& parts;
  published_config& config;
  conviction_book& convictions;
  request_log& log;
  request_reader requests;
  std::unique_ptr<kernel::http_server> server;
  std::thread listening;
  std::atomic<bool> lame_duck{false};
  std::atomic<bool> draining{false};
  std::atomic<std::int64_t> running{0};
  std::atomic<std::uint64_t> next_sequence{1};
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_CALLER_LISTENER_HPP
