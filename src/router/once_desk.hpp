#ifndef BORAGEHILL_ROUTER_ONCE_DESK_HPP
#define BORAGEHILL_ROUTER_ONCE_DESK_HPP

#include <optional>
#include <string>
#include <variant>

#include <boragehill/attempt_id.hpp>
#include <boragehill/refusal.hpp>
#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

#include "decide/idempotency_record.hpp"
#include "router/whole_answer.hpp"
#include "wire/attempt_status.hpp"
#include "wire/permit_answer.hpp"

namespace boragehill {
class object_store;
class table_service;
}  // namespace boragehill

namespace boragehill::wire {
class rpc_client;
}

namespace boragehill::router {

struct accepted_request;

/// A key's claim as one router holds it while it runs the request.
struct once_ticket {
  std::string row_key;
  /// Empty while no row stands.
  std::string etag;

  bool operator==(const once_ticket&) const = default;
};

/// The claims and results of non-idempotent requests, in the platform's table
/// and object store. Holds no state; thread safe; calls block.
class once_desk {
 public:
  once_desk(table_service& table, object_store& objects, wire::rpc_client& rpc,
            milliseconds call_timeout, std::size_t inline_bytes);

  /// What came of looking a key up: run it under a ticket, hand an earlier
  /// run's answer over, or refuse.
  using lookup = std::variant<once_ticket, whole_answer, refusal>;

  /// Looks the request's key up, and waits, up to the deadline, for a run that
  /// another router has under way.
  lookup open(const accepted_request& request);

  /// Writes that an attempt may run the request, before it is dispatched.
  ///
  /// \param ticket The ticket; gets the new etag.
  /// \return ok; platform_conflict (another router claimed it),
  ///   platform_down, platform_throttled, platform_answer_lost (the row could
  ///   not be read back): not to be dispatched.
  result_code claim(once_ticket& ticket, const accepted_request& request,
                    const attempt_id& attempt,
                    const wire::permit_answer& permit);

  /// Writes the answer down for resends; best effort, since the agent keeps it
  /// for a while too.
  void settle(const once_ticket& ticket, const accepted_request& request,
              const attempt_id& attempt, const wire::permit_answer& permit,
              const whole_answer& answer);

  /// Asks an agent what became of an attempt, and keeps it from running if it
  /// was not seen.
  std::optional<wire::attempt_status> fate(const std::string& attempt,
                                           const endpoint& control,
                                           std::uint64_t fence,
                                           std::int64_t permit_end_ms);

  /// Fetches an ended attempt's answer that its agent kept; nothing if it is
  /// not whole.
  std::optional<whole_answer> fetch_kept(const std::string& attempt,
                                         const endpoint& data,
                                         time_point until);

  /// Removes results older than a retention from one of the shards of a
  /// service's keys.
  ///
  /// \return How many rows were removed.
  std::size_t sweep(const std::string& service, std::uint8_t shard,
                    milliseconds retention);

 private:
  std::optional<lookup> follow(const decide::idempotency_record& row,
                               const once_ticket& ticket,
                               const accepted_request& request);
  lookup hand_over(const decide::idempotency_record& row);
  void keep(const once_ticket& ticket, decide::idempotency_record row,
            const whole_answer& answer);
  decide::idempotency_record row_of(const accepted_request& request,
                                    const attempt_id& attempt,
                                    const wire::permit_answer& permit) const;

  table_service& table;
  object_store& objects;
  wire::rpc_client& rpc;
  milliseconds call_timeout;
  std::size_t inline_bytes;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ONCE_DESK_HPP
