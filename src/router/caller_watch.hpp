#ifndef BORAGEHILL_ROUTER_CALLER_WATCH_HPP
#define BORAGEHILL_ROUTER_CALLER_WATCH_HPP

#include <string>

namespace boragehill::router {

/// Tells whether a caller hung up while its request waits.
///
/// cpp-httplib does not give a handler its connection, so the socket is looked
/// up, once, among this process's own by the caller's address and port. It
/// stays the caller's for as long as the handler runs.
class caller_watch {
 public:
  /// Watches nobody: `gone` is always false.
  caller_watch() = default;

  /// \param address The caller's IP address.
  /// \param port The caller's port.
  caller_watch(std::string address, int port);

  /// Returns whether the caller closed its connection.
  bool gone();

 private:
  int find_socket() const;

  std::string address;
  int port = -1;
  int socket = -1;
  bool looked = false;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_CALLER_WATCH_HPP
