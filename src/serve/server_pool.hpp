#ifndef BORAGEHILL_SERVE_SERVER_POOL_HPP
#define BORAGEHILL_SERVE_SERVER_POOL_HPP

#include <asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "serve/idle_use.hpp"
#include "serve/server_connection.hpp"

namespace boragehill::serve {

/// The connections to all backend servers, by the server's id, so that those
/// to an earlier server at the same address are never used for a later one.
class server_pool {
 public:
  explicit server_pool(asio::io_context& context) : context(context) {}

  /// Takes a connection: one that is idle, the youngest first, or a new one.
  /// \param may_carry Which idle ones may be taken.
  /// \param most The most connections to the server.
  /// \return Null if there are `most` and none is idle.
  std::shared_ptr<server_connection> take(const std::string& server,
                                          const endpoint& address,
                                          idle_use may_carry, std::size_t most);

  /// Closes the idle connections of a server that is gone.
  void forget(const std::string& server);

  /// Closes connections that the servers will close soon.
  void drop_old();

  /// \return The connections open to all servers.
  std::size_t open() const;

 private:
  struct server_entry {
    std::vector<std::shared_ptr<server_connection>> idle;
    std::size_t open = 0;
  };

  std::shared_ptr<server_connection> take_idle(server_entry& entry,
                                               idle_use may_carry);
  std::shared_ptr<server_connection> open_new(const std::string& server,
                                              const endpoint& address);

  asio::io_context& context;
  std::map<std::string, server_entry> servers;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_SERVER_POOL_HPP
