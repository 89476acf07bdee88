#ifndef BORAGEHILL_FLEET_TEST_WHOLE_STREAM_HPP
#define BORAGEHILL_FLEET_TEST_WHOLE_STREAM_HPP

#include <gtest/gtest.h>
#include <httplib.h>
#include <string>

namespace boragehill::fleet_test {

/// Expects all events of a worker's stream, once each and in order.
inline void expect_whole_stream(const httplib::Result& answer,
                                const std::string& attempt) {
  ASSERT_TRUE(answer) << attempt << ": " << httplib::to_string(answer.error());
  EXPECT_EQ(answer->status, 200) << attempt << ": " << answer->body;
  constexpr int events = 8;
  std::string whole;
  for (int each = 1; each <= events; ++each) {
    whole += "id: " + std::to_string(each) + "\ndata: " + attempt + "\n\n";
  }
  EXPECT_EQ(answer->body, whole) << attempt;
}

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_WHOLE_STREAM_HPP
