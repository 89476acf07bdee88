#ifndef BORAGEHILL_FAULT_TEST_TRUTH_HPP
#define BORAGEHILL_FAULT_TEST_TRUTH_HPP

#include <cstdint>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boragehill/ran_state.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::fault {

/// What a caller asks.
struct caller_request {
  std::string id;
  std::string model;
  /// Empty without an idempotency key.
  std::string key;
  bool non_idempotent = false;
  bool streamed = false;
  milliseconds wait{15000};

  std::string fingerprint() const {
    return this->key.empty() ? this->id : this->key;
  }
  /// The whole answer that only this request may get.
  std::string expected() const { return "answer to " + this->fingerprint(); }
};

/// How it ended, as its caller saw it.
struct caller_outcome {
  enum class kind { open, whole, refused, cut_off };

  kind how = kind::open;
  ran_state ran = ran_state::unknown;
  std::string body;
  time_point ended_at{};
  int code = 0;
};

/// One request with all that was seen of it.
struct seen_request {
  caller_request asked;
  time_point deadline{};
  /// The router that took it.
  std::string entry;
  caller_outcome outcome;
  int runs = 0;
};

/// What really happened in a cell; the fakes write it, the checkers read it.
struct truth {
  std::map<std::string, seen_request> requests;
  std::map<std::string, int> runs_by_attempt;
  std::map<std::string, int> runs_by_key;
  /// Attempts that an agent called "never ran".
  std::set<std::string> tombstoned;
  std::map<std::string, std::size_t> crashes;
  std::set<std::string> convicted;
  std::map<std::string, std::vector<std::uint64_t>> revisions;
  /// Accepted publishes: the revision and the publish id.
  std::vector<std::pair<std::uint64_t, std::string>> accepted;
  /// Servers that leave, since when.
  std::map<std::string, time_point> leaving;
  int runs_after_leaving = 0;
  int cut_by_stop = 0;
  /// Loads begun since the fault.
  int loads_since = 0;
  /// The first message of each checker that fired.
  std::map<std::string, std::string> violations;

  void note(const std::string& checker,
            const testing::AssertionResult& verdict) {
    if (!verdict) this->violations.try_emplace(checker, verdict.message());
  }
};

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_TRUTH_HPP
