#ifndef BORAGEHILL_STANDIN_EXPECTED_ANSWER_HPP
#define BORAGEHILL_STANDIN_EXPECTED_ANSWER_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace boragehill::standin {

/// Tokens of an answer whose request names no `max_tokens`.
inline constexpr std::uint32_t default_tokens = 16;

/// Returns the digest that the stand-ins count request bodies by.
inline std::string digest_of(std::string_view body) {
  return std::to_string(XXH64(body.data(), body.size(), 0));
}

/// Returns one token of the answer that an engine stand-in must give.
///
/// \param model The model or "base:adapter" that the body names.
/// \param body The request's body, byte for byte as the caller sent it.
/// \param index The token, from 0.
inline std::string expected_token(std::string_view model, std::string_view body,
                                  std::uint32_t index) {
  static constexpr std::array<std::string_view, 16> words{
      "spool", "port",  "valve", "reading", "list",  "shelf",
      "quote", "seal",  "term",  "page",    "press", "module",
      "lever", "index", "flow",  "citation"};
  const auto seed =
      XXH64(body.data(), body.size(), 0) ^ XXH64(model.data(), model.size(), 1);
  const auto draw = XXH64(&index, sizeof(index), seed);
  return std::string(words[draw % words.size()]) + std::to_string(draw % 997) +
         " ";
}

/// Returns the whole text of the answer, the tokens in order.
inline std::string expected_answer(std::string_view model,
                                   std::string_view body,
                                   std::uint32_t tokens = default_tokens) {
  std::string text;
  for (std::uint32_t i = 0; i < tokens; ++i) {
    text += expected_token(model, body, i);
  }
  return text;
}

/// Returns the "answer" member of a plain service stand-in's JSON.
///
/// \param method The method of the call.
/// \param target Its path and query.
/// \param body Its body.
inline std::string expected_service_answer(std::string_view method,
                                           std::string_view target,
                                           std::string_view body) {
  const std::string call = std::string(method) + " " + std::string(target) +
                           "\n" + std::string(body);
  return expected_answer("service", call);
}

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_EXPECTED_ANSWER_HPP
