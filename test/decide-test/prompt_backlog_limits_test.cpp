#include "decide/prompt_backlog_limits.hpp"

#include <gtest/gtest.h>
#include <vector>

#include "decide/server_choice.hpp"

namespace boragehill::decide {
namespace {

constexpr int short_prompt = 650;
constexpr int long_prompt = 17600;

/// The only worker that has a model, as seen by each router of a fleet; it
/// processes no prompts.
class stalled_worker {
 public:
  explicit stalled_worker(int routers)
      : views(routers, server_candidate{.slots = 64}) {}

  bool send(int router, int tokens) {
    const int limit =
        this->limits.router_limit(false, static_cast<int>(this->views.size()));
    auto& view = this->views[router];
    if (!choose_server({view}, 0.25, limit, 0)) return false;
    ++view.own_requests;
    view.prompt_backlog_tokens += tokens;
    return true;
  }

  int backlog_tokens() const {
    int sum = 0;
    for (const auto& view : this->views) sum += view.prompt_backlog_tokens;
    return sum;
  }

  prompt_backlog_limits limits;

 private:
  std::vector<server_candidate> views;
};

TEST(prompt_backlog_limits_test, limits_the_backlog_at_a_stalled_worker) {
  // The only worker of the busiest model stalls, and four routers have a
  // hundred requests for it. All were sent at once, waited there until their
  // callers gave up, and were lost, although another worker had the model soon
  // after.
  constexpr int routers = 4;
  stalled_worker worker(routers);
  for (int request = 0; request < 100; ++request) {
    worker.send(request % routers, short_prompt);
  }
  EXPECT_GE(worker.backlog_tokens(), worker.limits.server_tokens);
  EXPECT_LE(worker.backlog_tokens(),
            worker.limits.server_tokens + routers * short_prompt);
}

TEST(prompt_backlog_limits_test, sends_nothing_behind_a_long_prompt) {
  // A worker processes a long prompt for half a second. Requests that its
  // router sends meanwhile can't start before its end, nor move to another
  // worker.
  stalled_worker worker(4);
  EXPECT_TRUE(worker.send(0, long_prompt));
  EXPECT_FALSE(worker.send(0, short_prompt));
  EXPECT_TRUE(worker.send(1, short_prompt));
}

TEST(prompt_backlog_limits_test,
     allows_one_prompt_per_router_of_a_large_fleet) {
  constexpr int routers = 340;
  stalled_worker worker(routers);
  for (int router = 0; router < routers; ++router) {
    EXPECT_TRUE(worker.send(router, long_prompt)) << router;
    EXPECT_FALSE(worker.send(router, short_prompt)) << router;
  }
}

TEST(prompt_backlog_limits_test, late_requests_never_have_a_higher_limit) {
  const prompt_backlog_limits limits;
  for (int routers = 0; routers < 400; ++routers) {
    EXPECT_LE(limits.router_limit(true, routers),
              limits.router_limit(false, routers));
  }
}

}  // namespace
}  // namespace boragehill::decide
