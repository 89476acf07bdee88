#include "standin/generation.hpp"

#include "kernel/json_text.hpp"
#include "standin/expected_answer.hpp"

namespace boragehill::standin {

namespace {

std::string event_of(const Json::Value& value) {
  return "data: " + kernel::write_json(value) + "\n\n";
}

Json::Value frame(const generation& made, const char* chat_object) {
  Json::Value value;
  value["id"] = "answer-" + digest_of(made.body);
  value["object"] = made.is_chat ? chat_object : "text_completion";
  value["model"] = made.model;
  value["choices"][0]["index"] = 0;
  value["choices"][0]["finish_reason"] = Json::Value();
  return value;
}

}  // namespace

Json::Value whole_answer(const generation& made) {
  Json::Value value = frame(made, "chat.completion");
  Json::Value& choice = value["choices"][0];
  const std::string text = expected_answer(made.model, made.body, made.tokens);
  choice["finish_reason"] = "length";
  if (made.is_chat) {
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = text;
  } else {
    choice["text"] = text;
  }
  value["usage"]["completion_tokens"] = made.tokens;
  return value;
}

std::string stream_event(const generation& made, std::uint32_t index) {
  Json::Value value = frame(made, "chat.completion.chunk");
  Json::Value& choice = value["choices"][0];
  const bool is_last = index >= made.tokens;
  const std::string text =
      is_last ? "" : expected_token(made.model, made.body, index);
  if (is_last) choice["finish_reason"] = "length";
  if (made.is_chat) {
    choice["delta"]["content"] = text;
  } else {
    choice["text"] = text;
  }
  return event_of(value) + (is_last ? "data: [DONE]\n\n" : "");
}

}  // namespace boragehill::standin
