#include "kernel/duty.hpp"

#include <future>
#include <gtest/gtest.h>
#include <stdexcept>
#include <vector>

namespace boragehill::kernel {
namespace {

constexpr milliseconds rare_tick{60000};

TEST(duty_test, stop_handles_what_was_taken_in) {
  std::vector<int> seen;
  duty<int> subject("subject", 100, rare_tick,
                    [&](int& each) { seen.push_back(each); }, {});
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(subject.post(i));
  subject.start();
  EXPECT_TRUE(subject.running());
  subject.stop();
  subject.stop();
  EXPECT_EQ(seen.size(), 50u);
  EXPECT_FALSE(subject.running());
  EXPECT_FALSE(subject.post(1));
}

TEST(duty_test, a_duty_that_never_started_handles_its_messages_at_stop) {
  int handled = 0;
  duty<int> subject("subject", 4, rare_tick, [&](int&) { ++handled; }, {});
  subject.post(1);
  subject.stop();
  EXPECT_EQ(handled, 1);
}

TEST(duty_test, a_full_ring_refuses) {
  std::promise<void> release;
  duty<int> subject(
      "subject", 2, rare_tick,
      [gate = release.get_future().share()](int&) { gate.wait(); }, {});
  subject.start();
  int taken = 0;
  while (subject.post(taken)) ++taken;
  EXPECT_LE(taken, 3);
  release.set_value();
}

TEST(duty_test, ticks_under_load) {
  // A user would see timeouts that nobody acts on in the busiest week.
  // Each message brings the next, so the ring is never empty.
  // Cause: a tick that waits for the ring to run dry.
  std::promise<void> ticked;
  std::atomic<int> ticks{0};
  duty<int>* self = nullptr;
  duty<int> subject(
      "subject", 4, milliseconds(2), [&](int& each) { self->post(each); },
      [&] {
        if (++ticks == 5) ticked.set_value();
      });
  self = &subject;
  subject.post(1);
  subject.post(2);
  subject.start();
  EXPECT_EQ(ticked.get_future().wait_for(std::chrono::seconds(10)),
            std::future_status::ready);
  subject.stop();
}

TEST(duty_test, an_exception_ends_the_step_only) {
  // A user would see every request of the process fail.
  // One message makes the handler throw, and the next one follows.
  // Cause: an exception that leaves a thread's function ends the process.
  std::promise<int> second;
  duty<int> subject("subject", 4, rare_tick,
                    [&](int& each) {
                      if (each == 1) throw std::runtime_error("broken");
                      second.set_value(each);
                    },
                    {});
  subject.start();
  subject.post(1);
  subject.post(2);
  EXPECT_EQ(second.get_future().get(), 2);
}

TEST(duty_test, the_age_of_the_tick_grows_while_a_handler_hangs) {
  // A user would see requests queue up with no reason in the log.
  // A handler hangs, so neither messages nor ticks are served.
  // Cause: the thread is alive but stuck, which only the tick's age shows.
  std::promise<void> release;
  duty<int> subject(
      "subject", 2, milliseconds(1),
      [gate = release.get_future().share()](int&) { gate.wait(); }, [] {});
  EXPECT_EQ(subject.tick_age(), milliseconds(0));
  subject.start();
  subject.post(1);
  const auto end = time_point::clock::now() + std::chrono::seconds(10);
  while (subject.tick_age() < milliseconds(30) &&
         time_point::clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  EXPECT_GE(subject.tick_age(), milliseconds(30));
  release.set_value();
}

TEST(duty_test, can_stop_itself_from_its_handler) {
  std::promise<void> stopped;
  duty<int>* self = nullptr;
  duty<int> subject("subject", 2, rare_tick,
                    [&](int&) {
                      self->stop();
                      stopped.set_value();
                    },
                    {});
  self = &subject;
  subject.start();
  subject.post(1);
  stopped.get_future().get();
  EXPECT_FALSE(subject.post(2));
}

}  // namespace
}  // namespace boragehill::kernel
