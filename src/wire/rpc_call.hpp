#ifndef BORAGEHILL_WIRE_RPC_CALL_HPP
#define BORAGEHILL_WIRE_RPC_CALL_HPP

#include <memory>
#include <string>

namespace boragehill::wire::detail {

class rpc_connection;

/// A request on its way from the socket thread to a worker.
struct rpc_call {
  std::shared_ptr<rpc_connection> from;
  std::string text;
};

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_RPC_CALL_HPP
