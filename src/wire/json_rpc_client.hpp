#ifndef BORAGEHILL_WIRE_JSON_RPC_CLIENT_HPP
#define BORAGEHILL_WIRE_JSON_RPC_CLIENT_HPP

#include <functional>
#include <json/value.h>
#include <string>

// This header is also read as C++14, by the one source that uses the client
// half of libjsonrpccpp; it stays within that.
namespace boragehill {
namespace wire {

/// What came of one JSON-RPC call.
struct json_rpc_answer {
  enum class kind { result, error, garbled, not_exchanged };

  kind outcome = kind::not_exchanged;
  /// The error's code, for `kind::error`.
  int code = 0;
  /// The result, for `kind::result`.
  Json::Value value;
};

/// Sends a request's text and gets the answer's; false if that failed.
using json_rpc_exchange =
    std::function<bool(const std::string& request, std::string& answer)>;

/// Makes one JSON-RPC 2.0 call over any transport.
/// \param method The method's name.
/// \param params An object.
/// \param exchange The transport.
json_rpc_answer json_rpc_call(const std::string& method,
                              const Json::Value& params,
                              const json_rpc_exchange& exchange);

}  // namespace wire
}  // namespace boragehill

#endif  // BORAGEHILL_WIRE_JSON_RPC_CLIENT_HPP
