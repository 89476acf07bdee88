#ifndef BORAGEHILL_KERNEL_HTTP_SERVER_HPP
#define BORAGEHILL_KERNEL_HTTP_SERVER_HPP

#include <httplib.h>
#include <sys/socket.h>

namespace boragehill::kernel {

/// A cpp-httplib server whose listen queue holds a burst.
///
/// The library listens with a queue of five. When a model wakes, hundreds of
/// requests connect within a millisecond; the rest are dropped by the system,
/// tried again after a second, and by then given up as unreachable.
class http_server : public httplib::Server {
 public:
  /// Lengthens the listen queue; called after the binding, before any accept.
  void widen_listen_queue() {
    constexpr int longest_queue = 1024;
    ::listen(this->svr_sock_, longest_queue);
  }
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_HTTP_SERVER_HPP
