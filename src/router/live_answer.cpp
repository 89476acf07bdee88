#include "router/live_answer.hpp"

#include <utility>
#include <variant>

#include "router/attempt_call.hpp"

namespace boragehill::router {

namespace {

/// Long enough not to matter: the attempt's own limits end it first.
constexpr milliseconds poll_interval{1000};

}  // namespace

live_answer::live_answer(
    std::unique_ptr<attempt_call> running, std::string content,
    std::function<void(const decide::attempt_result&)> at_end)
    : call(std::move(running)),
      type(std::move(content)),
      on_end(std::move(at_end)) {}

live_answer::~live_answer() {
  if (this->ended) return;
  this->call->cancel();
  this->finish({.ending = decide::attempt_ending::caller_disconnected,
                .code = result_code::caller_gone});
}

decide::attempt_result live_answer::pump(
    const std::function<bool(std::string_view)>& write) {
  while (!this->call->ended()) {
    const auto frame =
        this->call->next(time_point::clock::now() + poll_interval);
    if (!frame) continue;
    const auto* piece = std::get_if<wire::frame_piece>(&*frame);
    if (piece == nullptr || write(piece->bytes)) continue;
    this->call->cancel();
    this->finish({.ending = decide::attempt_ending::caller_disconnected,
                  .code = result_code::caller_gone,
                  .partly_forwarded = true});
    return {.ending = decide::attempt_ending::caller_disconnected,
            .code = result_code::caller_gone};
  }
  const auto result = this->call->result();
  this->finish(result);
  return result;
}

void live_answer::finish(const decide::attempt_result& result) {
  this->ended = true;
  this->on_end(result);
}

}  // namespace boragehill::router
