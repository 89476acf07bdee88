#include "kernel/bounded_ring.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <thread>

namespace boragehill::kernel {
namespace {

time_point in(int count) {
  return time_point::clock::now() + milliseconds(count);
}

TEST(bounded_ring_test, gives_items_in_order_and_refuses_when_full) {
  bounded_ring<std::unique_ptr<int>> ring(2);
  EXPECT_TRUE(ring.try_push(std::make_unique<int>(1)));
  EXPECT_TRUE(ring.try_push(std::make_unique<int>(2)));
  EXPECT_FALSE(ring.try_push(std::make_unique<int>(3)));
  EXPECT_FALSE(ring.push_until(std::make_unique<int>(3), in(5)));
  EXPECT_EQ(ring.depth(), 2u);
  EXPECT_EQ(ring.capacity(), 2u);
  EXPECT_EQ(*ring.pop().value(), 1);
  EXPECT_EQ(*ring.pop_until(in(5)).value(), 2);
  EXPECT_FALSE(ring.pop_until(in(5)));
}

TEST(bounded_ring_test, a_closed_ring_gives_what_it_holds_and_takes_no_more) {
  bounded_ring<int> ring(2);
  ring.try_push(1);
  ring.close();
  EXPECT_TRUE(ring.closed());
  EXPECT_FALSE(ring.try_push(2));
  EXPECT_EQ(ring.pop(), 1);
  EXPECT_EQ(ring.pop(), std::nullopt);
}

TEST(bounded_ring_test, a_waiting_push_goes_on_when_room_appears) {
  bounded_ring<int> ring(1);
  ring.try_push(1);
  std::thread taker([&] { ring.pop(); });
  EXPECT_TRUE(ring.push_until(2, in(5000)));
  taker.join();
  EXPECT_EQ(ring.pop(), 2);
}

TEST(bounded_ring_test, close_wakes_waiting_threads) {
  bounded_ring<int> ring(1);
  std::thread taker([&] { EXPECT_EQ(ring.pop(), std::nullopt); });
  ring.close();
  taker.join();
}

}  // namespace
}  // namespace boragehill::kernel
