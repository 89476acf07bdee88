#include "router/once_desk.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <httplib.h>
#include <thread>
#include <xxhash.h>

#include <boragehill/object_store.hpp>
#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

#include "decide/idempotency_claim.hpp"
#include "kernel/utf8.hpp"
#include "kernel/wall_clock.hpp"
#include "router/accepted_request.hpp"
#include "router/answer_collector.hpp"
#include "wire/attempt_answer.hpp"
#include "wire/attempt_query.hpp"
#include "wire/field_codec.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill::router {

namespace {

constexpr int read_back_tries = 3;
constexpr int settle_tries = 2;
constexpr milliseconds follow_interval{100};
constexpr milliseconds retry_after{1000};
constexpr milliseconds connect_timeout{500};

/// Keys lie in 256 shards by their hash, so that old ones can be swept a
/// bounded number at a time though the table reads by prefix only.
std::string shard_prefix(const std::string& service, std::uint8_t shard) {
  std::array<char, 4> digits{};
  std::snprintf(digits.data(), digits.size(), "%02x", shard);
  return "once/" + service + "/" + digits.data() + "/";
}

std::string row_key_of(const accepted_request& request) {
  const std::string& key = request.idempotency_key;
  const auto shard =
      static_cast<std::uint8_t>(XXH3_64bits(key.data(), key.size()));
  return shard_prefix(request.service, shard) + key;
}

refusal not_run(result_code code, std::string message) {
  return {code, ran_state::no, retry_after, std::move(message)};
}

refusal unknown(std::string message) {
  return {result_code::outcome_unknown, ran_state::unknown, milliseconds{0},
          std::move(message)};
}

}  // namespace

once_desk::once_desk(table_service& platform_table, object_store& store,
                     wire::rpc_client& client, milliseconds timeout,
                     std::size_t inline_limit)
    : table(platform_table),
      objects(store),
      rpc(client),
      call_timeout(timeout),
      inline_bytes(inline_limit) {}

once_desk::lookup once_desk::open(const accepted_request& request) {
  const std::string key = row_key_of(request);
  while (time_point::clock::now() < request.deadline) {
    const auto row = this->table.read(key);
    if (!row) {
      // Nothing was sent now, yet an earlier request with this key may have
      // run: to call it not run would have the caller order it again.
      return refusal{code_of(row.error()), ran_state::unknown, retry_after,
                     "whether this key ran before can't be read"};
    }
    std::optional<decide::idempotency_record> standing;
    if (row.value()) {
      const auto read =
          wire::from_text<decide::idempotency_record>(row.value()->value);
      if (!read) return unknown("the key's row can't be read");
      standing = read.value();
    }
    const auto step = decide::evaluate_record(standing, request.fingerprint);
    if (std::holds_alternative<decide::claim_and_dispatch>(step)) {
      return once_ticket{key, {}};
    }
    if (std::holds_alternative<decide::refuse_key_reuse>(step)) {
      return not_run(result_code::idempotency_key_reused,
                     "the key came with another request before");
    }
    if (std::holds_alternative<decide::return_stored_response>(step)) {
      return this->hand_over(*standing);
    }
    const once_ticket ticket{key, row.value()->etag};
    if (auto found = this->follow(*standing, ticket, request)) return *found;
    std::this_thread::sleep_for(follow_interval);
  }
  return unknown("an earlier run of this key is still under way");
}

std::optional<once_desk::lookup> once_desk::follow(
    const decide::idempotency_record& row, const once_ticket& ticket,
    const accepted_request& request) {
  const auto status =
      this->fate(row.attempt, row.control, row.fence, row.permit_end_ms);
  const auto step = decide::evaluate_agent_status(status);
  if (std::holds_alternative<decide::wait_for_completion>(step))
    return std::nullopt;
  if (std::holds_alternative<decide::reassign_claim>(step)) return ticket;
  if (std::holds_alternative<decide::report_unknown_outcome>(step)) {
    return unknown("an earlier run of this key may have run");
  }
  auto kept = this->fetch_kept(row.attempt, row.data, request.deadline);
  if (!kept) return unknown("it ran and its answer is lost");
  // The router that ran it died before it wrote the answer down. The agent
  // keeps it in memory only: unless it is written now, a later resend would
  // hear "unknown" after this one got the answer, once the agent is restarted.
  this->keep(ticket, row, *kept);
  return *std::move(kept);
}

once_desk::lookup once_desk::hand_over(const decide::idempotency_record& row) {
  whole_answer answer{row.http_status, row.content_type, row.response_body};
  if (row.response_object.empty()) return answer;
  const auto object = this->objects.get(row.response_object);
  if (!object) {
    return refusal{result_code::platform_down, ran_state::yes, retry_after,
                   "it ran; its answer can't be fetched now"};
  }
  if (!object.value()) {
    return refusal{result_code::answer_broken, ran_state::yes, milliseconds{0},
                   "it ran; its answer is lost"};
  }
  answer.body = *object.value();
  return answer;
}

result_code once_desk::claim(once_ticket& ticket,
                             const accepted_request& request,
                             const attempt_id& attempt,
                             const wire::permit_answer& permit) {
  const auto row = this->row_of(request, attempt, permit);
  const auto written = this->table.transact({{.key = ticket.row_key,
                                              .etag = ticket.etag,
                                              .value = wire::to_text(row)}});
  if (written) {
    ticket.etag = written.value().front();
    return result_code::ok;
  }
  if (written.error() != result_code::platform_answer_lost) {
    return code_of(written.error());
  }
  // The claim may stand though its answer was lost; it is ours if our attempt
  // is in the row. Unread, it must not be dispatched: a resend elsewhere may
  // already have found no claim and made its own.
  for (int i = 0; i < read_back_tries; ++i) {
    const auto back = this->table.read(ticket.row_key);
    if (!back) continue;
    if (!back.value()) break;
    const auto standing =
        wire::from_text<decide::idempotency_record>(back.value()->value);
    if (!standing) break;
    if (!decide::is_claimed_by(standing.value(), row.attempt)) {
      return result_code::platform_conflict;
    }
    ticket.etag = back.value()->etag;
    return result_code::ok;
  }
  return result_code::platform_answer_lost;
}

void once_desk::settle(const once_ticket& ticket,
                       const accepted_request& request,
                       const attempt_id& attempt,
                       const wire::permit_answer& permit,
                       const whole_answer& answer) {
  this->keep(ticket, this->row_of(request, attempt, permit), answer);
}

void once_desk::keep(const once_ticket& ticket, decide::idempotency_record row,
                     const whole_answer& answer) {
  row.state = decide::idempotency_state::completed;
  row.http_status = answer.status;
  row.content_type = answer.content_type;
  const bool fits =
      answer.body.size() <= this->inline_bytes && kernel::is_utf8(answer.body);
  if (fits) {
    row.response_body = answer.body;
  } else {
    row.response_object = "once/" + row.attempt;
    bool stored = false;
    for (int i = 0; i < settle_tries && !stored; ++i) {
      stored = this->objects.put(row.response_object, answer.body).has_value();
    }
    if (!stored) return;
  }
  for (int i = 0; i < settle_tries; ++i) {
    const auto written = this->table.transact({{.key = ticket.row_key,
                                                .etag = ticket.etag,
                                                .value = wire::to_text(row)}});
    if (written || written.error() == result_code::platform_conflict) return;
  }
}

std::optional<wire::attempt_status> once_desk::fate(
    const std::string& attempt, const endpoint& control, std::uint64_t fence,
    std::int64_t permit_end_ms) {
  const wire::attempt_query query{
      .attempt = attempt, .fence = fence, .permit_end_ms = permit_end_ms};
  const auto answer = this->rpc.call(control, "agent.tombstone",
                                     wire::to_json(query), this->call_timeout);
  if (!answer) return std::nullopt;
  const auto read = wire::from_json<wire::attempt_answer>(answer.value());
  if (!read) return std::nullopt;
  return read.value().status;
}

std::optional<whole_answer> once_desk::fetch_kept(const std::string& attempt,
                                                  const endpoint& data,
                                                  time_point until) {
  const auto left = std::chrono::duration_cast<milliseconds>(
      until - time_point::clock::now());
  httplib::Client client(data.address, data.port);
  client.set_connection_timeout(connect_timeout);
  client.set_read_timeout(std::max(left, this->call_timeout));
  answer_collector collector;
  const auto got = client.Get("/attempt/" + attempt,
                              [&](const char* bytes, std::size_t size) {
                                return collector.feed({bytes, size});
                              });
  (void)got;
  return collector.whole();
}

std::size_t once_desk::sweep(const std::string& service, std::uint8_t shard,
                             milliseconds retention) {
  const auto rows = this->table.read_prefix(shard_prefix(service, shard));
  if (!rows) return 0;
  const std::int64_t oldest = kernel::wall_clock_ms() - retention.count();
  std::size_t removed = 0;
  for (const auto& row : rows.value()) {
    const auto read = wire::from_text<decide::idempotency_record>(row.value);
    if (!read || read.value().written_at_ms >= oldest) continue;
    if (!read.value().response_object.empty()) {
      (void)this->objects.remove(read.value().response_object);
    }
    const auto written = this->table.transact(
        {{.key = row.key, .etag = row.etag, .value = std::nullopt}});
    if (written) ++removed;
  }
  return removed;
}

decide::idempotency_record once_desk::row_of(
    const accepted_request& request, const attempt_id& attempt,
    const wire::permit_answer& permit) const {
  return {.digest = request.fingerprint,
          .attempt = attempt.to_string(),
          .server = permit.server,
          .control = permit.control,
          .data = permit.data,
          .fence = permit.fence,
          .permit_end_ms = permit.permit_end_ms,
          .state = decide::idempotency_state::claimed,
          .written_at_ms = kernel::wall_clock_ms()};
}

}  // namespace boragehill::router
