#ifndef BORAGEHILL_PROCESS_TEST_CALLER_HPP
#define BORAGEHILL_PROCESS_TEST_CALLER_HPP

#include <chrono>
#include <json/json.h>
#include <string>

namespace boragehill::process_test {

/// One call as a caller or an operator makes it.
struct call {
  std::string method = "POST";
  std::string path = "/v1/completions";
  std::string body;
  /// `Idempotency-Key`, empty for none.
  std::string key;
  std::chrono::milliseconds deadline{20000};
  /// The operators' token, empty for none.
  std::string token;
};

/// What a caller sees.
struct reply {
  /// 0 if no whole answer came.
  int status = 0;
  /// Whether the connection was refused, so that nothing was sent.
  bool is_unconnected = false;
  std::string body;
  /// `Boragehill-Ran`.
  std::string ran;
  /// The refusal's number and name, 0 and empty for an answer.
  int code = 0;
  std::string name;
  std::chrono::duration<double, std::milli> took{0};
};

/// Makes one call on a connection of its own.
reply make_call(int port, const call& wanted);

/// Returns the parsed answer, null if it is no JSON.
Json::Value json_of(const std::string& text);

/// Returns a body for `/v1/completions`.
std::string prompt(const std::string& model, const std::string& text,
                   bool is_stream = false, unsigned tokens = 16);

/// Tells whether an answer is the engine's, whole and to this very body.
///
/// \param sent The body that the caller sent.
bool is_whole_answer(const std::string& sent, const reply& got);

}  // namespace boragehill::process_test

#endif  // BORAGEHILL_PROCESS_TEST_CALLER_HPP
