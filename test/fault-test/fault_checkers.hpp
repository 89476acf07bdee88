#ifndef BORAGEHILL_FAULT_TEST_FAULT_CHECKERS_HPP
#define BORAGEHILL_FAULT_TEST_FAULT_CHECKERS_HPP

#include "truth.hpp"

namespace boragehill::fault {

inline testing::AssertionResult bad(const std::string& text) {
  return testing::AssertionFailure() << text;
}

/// Checks that no more engines hold a model than grants were decided.
inline testing::AssertionResult replicas_within_grants(const std::string& model,
                                                       std::size_t held,
                                                       std::size_t granted) {
  if (held <= granted) return testing::AssertionSuccess();
  return bad(std::to_string(held) + " replicas of " + model + " under " +
             std::to_string(granted) + " grants");
}

/// Checks that each key, and each non-idempotent request, ran at most once.
inline testing::AssertionResult key_runs_at_most_once(const truth& seen) {
  for (const auto& [key, runs] : seen.runs_by_key) {
    if (runs > 1) return bad(key + " ran " + std::to_string(runs) + " times");
  }
  for (const auto& [id, request] : seen.requests) {
    if (!request.asked.non_idempotent || request.runs <= 1) continue;
    return bad(id + " ran " + std::to_string(request.runs) + " times");
  }
  return testing::AssertionSuccess();
}

/// Checks that a request refused with "not run" did not run.
inline testing::AssertionResult no_means_no_run(const truth& seen) {
  for (const auto& [id, request] : seen.requests) {
    const bool promised =
        request.outcome.how == caller_outcome::kind::refused &&
        request.outcome.ran == ran_state::no;
    if (promised && request.runs > 0) return bad(id + " ran, against the no");
  }
  return testing::AssertionSuccess();
}

/// Checks that each caller's answer, if whole, is its own.
inline testing::AssertionResult own_whole_answer(const truth& seen) {
  for (const auto& [id, request] : seen.requests) {
    if (request.outcome.how != caller_outcome::kind::whole) continue;
    if (request.outcome.body == request.asked.expected()) continue;
    return bad(id + " got \"" + request.outcome.body + "\"");
  }
  return testing::AssertionSuccess();
}

/// Checks that each request ended in time.
///
/// \param thaws Until when a fault froze an entry router; its requests can't
///   end before.
inline testing::AssertionResult ended_by_deadline(
    const truth& seen, const std::map<std::string, time_point>& thaws) {
  constexpr milliseconds slack{1000};
  // A streamed answer must begin by the deadline; it takes so long to end.
  constexpr milliseconds stream{6000};
  for (const auto& [id, request] : seen.requests) {
    const auto& outcome = request.outcome;
    if (outcome.how == caller_outcome::kind::open) return bad(id + " hangs");
    const auto thaw = thaws.find(request.entry);
    const auto end = thaw == thaws.end()
                         ? request.deadline
                         : std::max(request.deadline, thaw->second);
    const auto more = request.asked.streamed ? stream : milliseconds{0};
    if (outcome.ended_at <= end + slack + more) continue;
    return bad(id + " ended after its deadline");
  }
  return testing::AssertionSuccess();
}

/// Checks that each accepted publish stands alone at its revision.
///
/// \param standing The publish id in the table's history by revision.
inline testing::AssertionResult accepted_publishes_stand(
    const truth& seen, const std::map<std::uint64_t, std::string>& standing) {
  for (const auto& [revision, id] : seen.accepted) {
    const auto row = standing.find(revision);
    if (row != standing.end() && row->second == id) continue;
    return bad("accepted " + id + " does not stand at " +
               std::to_string(revision));
  }
  return testing::AssertionSuccess();
}

/// Checks a count that must be zero.
inline testing::AssertionResult none(int count, const std::string& what) {
  if (count == 0) return testing::AssertionSuccess();
  return bad(std::to_string(count) + " " + what);
}

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_FAULT_CHECKERS_HPP
