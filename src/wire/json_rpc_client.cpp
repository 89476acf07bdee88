#include "wire/json_rpc_client.hpp"

#include <exception>

// The library's interface has a dynamic exception specification, which an
// override must repeat; C++14 deprecates it.
#pragma GCC diagnostic ignored "-Wdeprecated"
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

namespace boragehill {
namespace wire {

namespace {

class exchange_connector final : public jsonrpc::IClientConnector {
 public:
  explicit exchange_connector(const json_rpc_exchange& exchange)
      : exchange(exchange) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    this->exchanged = this->exchange(message, result);
    if (this->exchanged) return;
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
  }

  bool exchanged = false;

 private:
  const json_rpc_exchange& exchange;
};

bool is_unreadable(int code) {
  return code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR ||
         code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
}

json_rpc_answer failure_of(const exchange_connector& connector, int code) {
  json_rpc_answer answer;
  if (!connector.exchanged) return answer;
  answer.outcome = is_unreadable(code) ? json_rpc_answer::kind::garbled
                                       : json_rpc_answer::kind::error;
  answer.code = code;
  return answer;
}

}  // namespace

json_rpc_answer json_rpc_call(const std::string& method,
                              const Json::Value& params,
                              const json_rpc_exchange& exchange) {
  exchange_connector connector(exchange);
  try {
    jsonrpc::Client client(connector);
    json_rpc_answer answer;
    client.CallMethod(method, params, answer.value);
    answer.outcome = json_rpc_answer::kind::result;
    return answer;
  } catch (const jsonrpc::JsonRpcException& error) {
    return failure_of(connector, error.GetCode());
  } catch (const std::exception&) {
    // jsoncpp throws errors of its own on answers of an unexpected type; they
    // would otherwise end the calling duty's step.
    return failure_of(connector,
                      jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE);
  }
}

}  // namespace wire
}  // namespace boragehill
