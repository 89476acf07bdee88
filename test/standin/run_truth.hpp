#ifndef BORAGEHILL_STANDIN_RUN_TRUTH_HPP
#define BORAGEHILL_STANDIN_RUN_TRUTH_HPP

#include <cstdint>
#include <json/json.h>
#include <map>
#include <mutex>
#include <string>

namespace boragehill::standin {

/// What a backend server truly ran, counted apart from what it answered.
/// Thread safe.
class run_truth {
 public:
  /// Counts the start of a run.
  ///
  /// \param attempt The attempt's name; empty if the call had none.
  /// \param body The request's body.
  void start(const std::string& attempt, const std::string& body);

  /// Counts a run that came to its end.
  void finish();

  /// Counts a run that was broken off.
  void cancel();

  /// Counts a call under a name of the test's choosing.
  void count(const std::string& group, const std::string& name);

  /// Returns everything as the body of `GET /standin/truth`.
  Json::Value json();

 private:
  using counts = std::map<std::string, std::uint64_t>;

  std::mutex mutex;
  std::map<std::string, counts> groups;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_RUN_TRUTH_HPP
