#include "router/attempt_call.hpp"

#include <httplib.h>
#include <utility>

#include "router/accepted_request.hpp"
#include "wire/answer_frame_decoder.hpp"

namespace boragehill::router {

namespace {

constexpr std::size_t ring_capacity = 64;
constexpr milliseconds connect_timeout{500};
/// How long a streamed answer may go on after the deadline for its beginning.
constexpr milliseconds stream_limit{600000};
constexpr milliseconds read_slack{1000};
constexpr milliseconds stop_interval{20};

milliseconds left_of(time_point deadline) {
  const auto left = std::chrono::duration_cast<milliseconds>(
      deadline - time_point::clock::now());
  return std::max(left, milliseconds{1});
}

httplib::Headers headers_of(const accepted_request& request,
                            const attempt_id& attempt,
                            const wire::permit_answer& permit,
                            const std::string& traceparent) {
  httplib::Headers headers{
      {"Boragehill-Attempt", attempt.to_string()},
      {"Boragehill-Fence", std::to_string(permit.fence)},
      {"Boragehill-Permit-End", std::to_string(permit.permit_end_ms)},
      {"Boragehill-Target", request.target},
      {"Boragehill-Adapter", request.adapter},
      {"Boragehill-Time-Left-Ms",
       std::to_string(left_of(request.deadline).count())},
      {"Boragehill-Method", request.method},
      {"Boragehill-Path", request.path},
      {"Content-Type", request.content_type},
      {"traceparent", traceparent},
  };
  if (request.priority != 0) {
    headers.emplace("Boragehill-Priority", std::to_string(request.priority));
  }
  if (!request.idempotency_key.empty()) {
    headers.emplace("Idempotency-Key", request.idempotency_key);
  }
  if (request.non_idempotent) headers.emplace("Boragehill-Non-Idempotent", "1");
  if (permit.exclusive) headers.emplace("Boragehill-Exclusive", "1");
  return headers;
}

}  // namespace

attempt_call::attempt_call(const accepted_request& request,
                           const attempt_id& attempt,
                           const wire::permit_answer& permit,
                           const std::string& traceparent)
    : client(std::make_unique<httplib::Client>(permit.data.address,
                                               permit.data.port)),
      ring(ring_capacity),
      give_up_at(request.deadline +
                 (request.streamed ? stream_limit : read_slack)) {
  this->client->set_keep_alive(false);
  this->client->set_connection_timeout(connect_timeout);
  this->client->set_read_timeout(left_of(this->give_up_at));
  this->client->set_write_timeout(left_of(request.deadline));
  this->reader = std::thread([this, request, attempt, permit, traceparent] {
    this->send(request, attempt, permit, traceparent);
    this->ring.close();
    this->reader_ended.set_value();
  });
}

attempt_call::~attempt_call() {
  if (!this->finished) this->cancel();
  // A stop that comes before the connection stands has no effect, so it is
  // repeated until the reading thread has ended.
  const auto ended = this->reader_ended.get_future();
  while (ended.wait_for(stop_interval) != std::future_status::ready) {
    this->client->stop();
  }
  this->reader.join();
}

std::optional<wire::answer_frame> attempt_call::next(time_point until) {
  auto frame = this->ring.pop_until(until);
  if (!frame && this->ring.closed()) this->finished = true;
  return frame;
}

decide::attempt_result attempt_call::result() const {
  return this->outcome;
}

void attempt_call::cancel() {
  this->cancelled = true;
  this->ring.close();
  this->client->stop();
}

void attempt_call::send(const accepted_request& request,
                        const attempt_id& attempt,
                        const wire::permit_answer& permit,
                        const std::string& traceparent) {
  wire::answer_frame_decoder decoder;
  httplib::Request call;
  call.method = "POST";
  call.path = "/attempt";
  call.headers = headers_of(request, attempt, permit, traceparent);
  call.body = request.body;
  call.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                              std::uint64_t) {
    const auto fed =
        decoder.feed({data, size}, [this](wire::answer_frame&& frame) {
          return this->take(std::move(frame));
        });
    return fed.has_value();
  };
  const auto sent = this->client->send(call);
  if (!this->complete) {
    const auto error = sent.error();
    const bool never_connected = error == httplib::Error::Connection ||
                                 error == httplib::Error::ConnectionTimeout;
    this->outcome.ending = never_connected
                               ? decide::attempt_ending::not_sent
                               : decide::attempt_ending::interrupted;
    this->outcome.code = never_connected ? result_code::peer_unreachable
                                         : result_code::outcome_unknown;
    if (this->cancelled && !never_connected) {
      this->outcome.ending = decide::attempt_ending::caller_disconnected;
    }
  }
}

bool attempt_call::take(wire::answer_frame&& frame) {
  if (this->complete) return false;
  if (const auto* piece = std::get_if<wire::frame_piece>(&frame)) {
    this->digest.add(piece->bytes);
  }
  if (const auto* end = std::get_if<wire::frame_end>(&frame)) {
    // Only length and checksum make an answer whole: a connection that was cut
    // between two pieces looks like an answer that ended there.
    this->complete = true;
    const bool whole = this->digest.matches(*end);
    this->outcome.ending = whole ? decide::attempt_ending::complete
                                 : decide::attempt_ending::interrupted;
    this->outcome.code = whole ? result_code::ok : result_code::answer_broken;
    return true;
  }
  if (const auto* failure = std::get_if<wire::frame_failure>(&frame)) {
    this->complete = true;
    const bool not_run = failure->ran == ran_state::no;
    this->outcome.ending = not_run ? decide::attempt_ending::refused
                                   : decide::attempt_ending::interrupted;
    this->outcome.code = failure->code;
    this->outcome.server_crashed = failure->code == result_code::engine_crashed;
    return true;
  }
  return this->ring.push_until(std::move(frame), this->give_up_at);
}

}  // namespace boragehill::router
