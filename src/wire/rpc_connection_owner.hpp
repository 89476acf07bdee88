#ifndef BORAGEHILL_WIRE_RPC_CONNECTION_OWNER_HPP
#define BORAGEHILL_WIRE_RPC_CONNECTION_OWNER_HPP

#include <memory>
#include <string>

namespace boragehill::wire::detail {

class rpc_connection;

/// What a connection tells its server, on the socket thread.
class rpc_connection_owner {
 public:
  virtual ~rpc_connection_owner() = default;

  /// A whole frame came in; the connection waits for `reply`, `skip` or
  /// `reject`, exactly one of them.
  virtual void on_frame(const std::shared_ptr<rpc_connection>& from,
                        std::string text) = 0;

  /// The connection is closed and will call no more.
  virtual void on_closed(const std::shared_ptr<rpc_connection>& which) = 0;
};

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_RPC_CONNECTION_OWNER_HPP
