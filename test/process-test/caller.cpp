#include "process-test/caller.hpp"

#include <httplib.h>
#include <sstream>

#include "kernel/json_text.hpp"
#include "standin/expected_answer.hpp"

namespace boragehill::process_test {

namespace {

constexpr std::chrono::seconds extra_patience{10};

std::string streamed_text(const std::string& body) {
  std::istringstream lines(body);
  std::string text;
  std::string line;
  bool is_done = false;
  while (std::getline(lines, line)) {
    if (line == "data: [DONE]") is_done = true;
    if (!line.starts_with("data: {")) continue;
    text += json_of(line.substr(6))["choices"][0]["text"].asString();
  }
  return is_done ? text : "a stream that was cut off";
}

}  // namespace

Json::Value json_of(const std::string& text) {
  auto parsed = kernel::parse_json(text);
  return parsed ? *parsed : Json::Value();
}

reply make_call(int port, const call& wanted) {
  httplib::Client client("127.0.0.1", port);
  client.set_connection_timeout(std::chrono::seconds(2));
  client.set_read_timeout(wanted.deadline + extra_patience);
  client.set_tcp_nodelay(true);
  httplib::Request request;
  request.method = wanted.method;
  request.path = wanted.path;
  request.body = wanted.body;
  request.headers = {{"X-Service", "assistant"},
                     {"X-Deadline-Ms", std::to_string(wanted.deadline.count())},
                     {"Content-Type", "application/json"}};
  if (!wanted.key.empty()) {
    request.headers.emplace("Idempotency-Key", wanted.key);
  }
  if (!wanted.token.empty()) {
    request.headers.emplace("Authorization", "Bearer " + wanted.token);
  }
  const auto began = std::chrono::steady_clock::now();
  const auto answer = client.send(request);
  reply got{.took = std::chrono::steady_clock::now() - began};
  if (!answer) {
    got.is_unconnected = answer.error() == httplib::Error::Connection;
    return got;
  }
  got.status = answer->status;
  got.body = answer->body;
  got.ran = answer->get_header_value("Boragehill-Ran");
  if (got.status < 400) return got;
  const Json::Value error = json_of(got.body)["error"];
  got.code = error["code"].isInt() ? error["code"].asInt() : 0;
  got.name = error["name"].asString();
  return got;
}

std::string prompt(const std::string& model, const std::string& text,
                   bool is_stream, unsigned tokens) {
  return "{\"model\":\"" + model + "\",\"prompt\":\"" + text +
         "\",\"stream\":" + (is_stream ? "true" : "false") +
         ",\"max_tokens\":" + std::to_string(tokens) + "}";
}

bool is_whole_answer(const std::string& sent, const reply& got) {
  if (got.status != 200) return false;
  const Json::Value body = json_of(sent);
  const std::string expected = standin::expected_answer(
      body["model"].asString(), sent, body["max_tokens"].asUInt());
  if (body["stream"].asBool()) return streamed_text(got.body) == expected;
  return json_of(got.body)["choices"][0]["text"].asString() == expected;
}

}  // namespace boragehill::process_test
