#ifndef BORAGEHILL_BENCH_LOAD_CALL_HPP
#define BORAGEHILL_BENCH_LOAD_CALL_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

namespace httplib {
class Client;
}

namespace boragehill::bench {

/// What one request asks for.
struct load_request {
  std::string service;
  std::string model;
  bool stream = true;
  int max_tokens = 16;

  bool operator==(const load_request&) const = default;
};

/// How one request ended. Times are in milliseconds from when it was due, so
/// that a load tool that falls behind doesn't hide a wait.
struct load_result {
  /// The HTTP status; 0 if no whole answer came.
  int status = 0;
  /// The refusal's name, or the client's error; empty if answered.
  std::string refusal;
  double late_ms = 0;
  double first_token_ms = 0;
  double whole_ms = 0;
  std::vector<double> between_tokens_ms;

  bool operator==(const load_result&) const = default;
};

/// Sends one request and waits for its end.
///
/// \param client A client of the router; one thread's at a time.
/// \param request What is asked.
/// \param late_ms How late the request is sent.
/// \return How it ended.
load_result send_request(httplib::Client& client, const load_request& request,
                         double late_ms);

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_LOAD_CALL_HPP
