#ifndef BORAGEHILL_WIRE_RPC_WORKER_HPP
#define BORAGEHILL_WIRE_RPC_WORKER_HPP

#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <map>
#include <memory>
#include <string>

#include <boragehill/result_code.hpp>

#include "wire/rpc_call.hpp"
#include "wire/rpc_server.hpp"

namespace boragehill::wire::detail {

/// The methods of a server by name.
using rpc_methods = std::map<std::string, rpc_server::handler>;

/// Runs calls through the JSON-RPC library, one at a time. Each worker thread
/// has its own.
class rpc_worker final : public jsonrpc::AbstractServerConnector,
                         private jsonrpc::IProcedureInvokationHandler {
 public:
  /// \param methods Must outlive the worker.
  /// \param max_frame The most bytes in an answer.
  rpc_worker(const rpc_methods& methods, std::size_t max_frame);
  ~rpc_worker() override;

  /// Runs a call and answers its connection.
  void serve(const rpc_call& call);

  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* info) override;

 private:
  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override;
  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override;
  bool is_garbled() const;

  const rpc_methods& methods;
  std::size_t max_frame;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
  bool invoked = false;
  std::string answer;
};

/// \return The JSON-RPC error answer to a request that wasn't read.
std::string rpc_error_text(result_code code);

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_RPC_WORKER_HPP
