#include "load_call.hpp"

#include <algorithm>
#include <chrono>
#include <httplib.h>
#include <json/json.h>
#include <memory>
#include <optional>

namespace boragehill::bench {

namespace {

using clock = std::chrono::steady_clock;

double milliseconds_since(clock::time_point begin) {
  return std::chrono::duration<double, std::milli>(clock::now() - begin)
      .count();
}

std::string body_of(const load_request& request) {
  Json::Value message;
  message["role"] = "user";
  message["content"] = "Which spool for two ports?";
  Json::Value body;
  body["model"] = request.model;
  body["stream"] = request.stream;
  body["max_tokens"] = request.max_tokens;
  body["messages"].append(message);
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, body);
}

std::string refusal_of(const std::string& text, int status) {
  std::string unknown = "status_" + std::to_string(status);
  Json::Value body;
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder{}.newCharReader());
  const char* begin = text.data();
  if (!reader->parse(begin, begin + text.size(), &body, nullptr)) {
    return unknown;
  }
  const Json::Value& error = body["error"];
  return error.isObject() ? error.get("name", unknown).asString() : unknown;
}

/// Notes when each event of a stream arrives.
class token_watch {
 public:
  explicit token_watch(clock::time_point sent) : sent(sent) {}

  void take(const char* data, std::size_t size) {
    this->text.append(data, size);
    const double now = milliseconds_since(this->sent);
    for (;;) {
      const std::size_t end = this->text.find("\n\n", this->seen);
      if (end == std::string::npos) return;
      this->take_event(now, this->text.substr(this->seen, end - this->seen));
      this->seen = end + 2;
    }
  }

  std::string text;
  std::optional<double> first;
  std::vector<double> between;
  /// Whether the stream said that it is whole.
  bool done = false;

 private:
  void take_event(double now, const std::string& event) {
    if (event.find("[DONE]") != std::string::npos) {
      this->done = true;
      return;
    }
    if (event.find("data:") == std::string::npos) return;
    if (this->first) this->between.push_back(now - this->last);
    if (!this->first) this->first = now;
    this->last = now;
  }

  clock::time_point sent;
  std::size_t seen = 0;
  double last = 0;
};

}  // namespace

load_result send_request(httplib::Client& client, const load_request& asked,
                         double late_ms) {
  const clock::time_point sent = clock::now();
  token_watch watch(sent);
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = {{"X-Service", asked.service},
                     {"Content-Type", "application/json"}};
  request.body = body_of(asked);
  request.content_receiver = [&watch](const char* data, std::size_t size,
                                      std::uint64_t, std::uint64_t) {
    watch.take(data, size);
    return true;
  };
  const auto answer = client.send(request);
  load_result result{.late_ms = late_ms,
                     .first_token_ms = late_ms + watch.first.value_or(0),
                     .whole_ms = late_ms + milliseconds_since(sent),
                     .between_tokens_ms = std::move(watch.between)};
  if (!answer) {
    result.refusal = "client_" + httplib::to_string(answer.error());
    return result;
  }
  result.status = answer->status;
  if (answer->status != 200) {
    result.refusal = refusal_of(watch.text, answer->status);
  } else if (asked.stream && !watch.done) {
    result.refusal = "stream_not_whole";
  }
  return result;
}

}  // namespace boragehill::bench
