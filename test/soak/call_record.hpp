#ifndef BORAGEHILL_SOAK_CALL_RECORD_HPP
#define BORAGEHILL_SOAK_CALL_RECORD_HPP

#include <chrono>
#include <string>

namespace boragehill::soak {

/// What a caller saw of one request.
struct call_record {
  std::string attempt;
  std::string service;
  int router = 0;
  std::chrono::steady_clock::time_point begin;
  std::chrono::steady_clock::time_point end;
  std::chrono::milliseconds deadline{0};
  /// 0 if the connection ended without a whole answer.
  int status = 0;
  /// The answer is the whole one to this very request.
  bool own_answer = false;
  /// The caller hung up before the answer.
  bool left = false;
  /// Servers may run it twice.
  bool repeatable = false;
  /// The router was reached.
  bool connected = true;
  /// Which of the requests that end servers it is; empty if none.
  std::string crashing;
  /// The caller had all events before, so that a server writes none: without a
  /// frame that is like a stream which breaks off.
  bool had_all = false;

  bool operator==(const call_record&) const = default;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_CALL_RECORD_HPP
