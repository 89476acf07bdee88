#include "router/caller_watch.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragehill::router {

namespace {

/// A caller's connection and this process's end of it, over loopback.
class connected_pair {
 public:
  connected_pair() {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&where);
    socklen_t size = sizeof where;
    EXPECT_EQ(bind(listener, generic, size), 0);
    EXPECT_EQ(listen(listener, 1), 0);
    EXPECT_EQ(getsockname(listener, generic, &size), 0);
    this->caller = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(connect(this->caller, generic, size), 0);
    this->served = accept(listener, nullptr, nullptr);
    EXPECT_EQ(getsockname(this->caller, generic, &size), 0);
    this->port = ntohs(where.sin_port);
    close(listener);
  }
  ~connected_pair() {
    this->hang_up();
    close(this->served);
  }
  connected_pair(const connected_pair&) = delete;
  connected_pair& operator=(const connected_pair&) = delete;

  void hang_up() {
    if (this->caller >= 0) close(this->caller);
    this->caller = -1;
  }

  int port = 0;

 private:
  int caller = -1;
  int served = -1;
};

}  // namespace

// A caller gives up after two seconds while its request waits for a load of a
// minute. Unseen, the request would run for nobody, on an accelerator that
// others wait for.
TEST(caller_watch_test, sees_that_the_caller_hung_up) {
  connected_pair pair;
  caller_watch watch("127.0.0.1", pair.port);
  EXPECT_FALSE(watch.gone());
  pair.hang_up();
  EXPECT_TRUE(watch.gone());
}

TEST(caller_watch_test, calls_no_caller_gone_that_it_can_not_find) {
  caller_watch unknown("127.0.0.1", 1);
  EXPECT_FALSE(unknown.gone());
  caller_watch nobody;
  EXPECT_FALSE(nobody.gone());
}

}  // namespace boragehill::router
