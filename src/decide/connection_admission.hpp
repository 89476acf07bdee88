#ifndef BORAGEHILL_DECIDE_CONNECTION_ADMISSION_HPP
#define BORAGEHILL_DECIDE_CONNECTION_ADMISSION_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Decides whether a router takes a caller's new connection.
///
/// One that is closed before its request is read costs its caller a round trip:
/// any request may be sent to another router then. One that is taken by an
/// overloaded router makes all requests there late.
class connection_admission {
 public:
  /// One connection is taken this often under any load, so that no router
  /// rejects all while its peers do, too.
  static constexpr milliseconds longest_rejection{250};

  /// \param overloaded True if the router has more load than it can bear.
  bool admits(bool overloaded, time_point now) const {
    return !overloaded || now - this->admitted >= longest_rejection;
  }

  /// A connection was taken.
  void on_admitted(time_point now) { this->admitted = now; }

 private:
  time_point admitted;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CONNECTION_ADMISSION_HPP
