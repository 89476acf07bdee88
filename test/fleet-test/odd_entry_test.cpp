#include <absl/strings/str_cat.h>
#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

std::string nested(const std::string& open, const std::string& close,
                   int depth) {
  std::string text;
  for (int each = 0; each < depth; ++each) text += open;
  text += "1";
  for (int each = 0; each < depth; ++each) text += close;
  return text;
}

/// \return A whole entry but for one field; the last of equal names counts.
std::string entry_with(const std::string& field) {
  return R"({"service":"sheets","zone":"zone-1","state":"ready","seq":1,)"
         R"("slots":8,"models":[],"addr":"127.0.9.9:9",)" +
         field + "}";
}

std::vector<std::string> odd_values() {
  constexpr int too_deep = 15000;
  constexpr int deep = 900;
  const std::vector<std::string> nests{nested("[", "]", too_deep),
                                       nested(R"({"a":)", "}", too_deep / 2),
                                       nested("[", "]", deep)};
  std::vector<std::string> values = nests;
  for (const auto& value : nests) {
    for (const std::string field : {"models", "atHand", "other", "version"}) {
      values.push_back(entry_with(absl::StrCat("\"", field, "\":", value)));
    }
  }
  for (const std::string number :
       {"1e400", "-1e400", "1e308", "18446744073709551616", "1e19",
        "-9223372036854775809", "9223372036854775807", "0.5", "-1"}) {
    for (const std::string field : {"slots", "seq", "born", "version"}) {
      values.push_back(entry_with(absl::StrCat("\"", field, "\":", number)));
    }
  }
  for (const std::string port :
       {"65536", "70000", "-1", "0", "99999999999999999999", "1e3", ""}) {
    values.push_back(entry_with(R"("addr":"127.0.9.9:)" + port + '"'));
  }
  values.push_back(entry_with(R"("addr":7101)"));
  return values;
}

/// Processes that read a list which another writer has written to.
class odd_entry_test : public testing::Test {
 protected:
  odd_entry_test() : fleet(1, 1, 1, 1) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    this->router = this->fleet["router-1"].id();
    this->agent = this->fleet["agent-1"].id();
  }

  /// Changes the list and the configuration behind what was written, starts
  /// another router, and expects all of them to be followed.
  void expect_followed() {
    this->fleet.replace_plain(1, "i-later");
    this->fleet.configure(2, "/plain/");
    EXPECT_TRUE(this->fleet.wait_for_catalog(2));
    EXPECT_TRUE(this->is_served());
    EXPECT_EQ(this->fleet["router-1"].id(), this->router);
    EXPECT_TRUE(this->fleet["router-1"].is_running());
    EXPECT_EQ(this->fleet["agent-1"].id(), this->agent);
    EXPECT_TRUE(this->fleet["agent-1"].is_running());
    this->fleet["router-1"].kill();
    this->fleet["router-1"].start();
    EXPECT_TRUE(this->fleet.wait_until_ready(1, milliseconds(5000)));
    EXPECT_TRUE(this->is_served());
    const auto stream = this->fleet.call(1, "streams", "model-1", "/stream/x");
    EXPECT_TRUE(stream && stream->status == 200);
  }

  bool is_served() {
    constexpr int most_tries = 50;
    for (int each = 0; each < most_tries; ++each) {
      const auto answer = this->fleet.call(1, numbered("call", each), {});
      const bool is_later =
          answer && answer->status == 200 &&
          answer->get_header_value("Boragehill-Response-Stamp") == "i-later";
      if (is_later) return true;
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  small_fleet fleet;
  pid_t router = 0;
  pid_t agent = 0;
};

// Guards against an entry among the servers' that ends the processes which read
// it, or the feed that brought it.
TEST_F(odd_entry_test, ends_no_process_that_reads_it) {
  int number = 0;
  for (const auto& value : odd_values()) {
    this->fleet.write_entry(numbered("i-odd", ++number), value);
  }
  this->expect_followed();
}

// Guards against the same in the other tables that are read.
TEST_F(odd_entry_test, ends_no_process_that_reads_another_table) {
  for (const auto& value : odd_values()) {
    this->fleet.write_row("op", "config", value);
    this->fleet.write_row("boragehill", "planner", value);
    this->fleet.write_row("boragehill", "quarantine", value);
    this->fleet.write_row("boragehill", "fence/agent-1", value);
  }
  this->expect_followed();
}

// Guards against a key that ends the reading of a list of several pages.
TEST_F(odd_entry_test, a_key_at_the_end_of_a_page_hides_no_entry_behind_it) {
  constexpr int rows_of_a_page = 500;
  for (int each = 1; each < rows_of_a_page; ++each) {
    this->fleet.write_entry("!" + std::to_string(each), "odd");
  }
  for (const std::string key : {"a b", "a&table=op", "a%41", "a#", "a\r\n\r\n",
                                "a+b", "a\"\\", "\xc3\xa4"}) {
    // It is the last of the first page.
    this->fleet.write_entry(key, "odd");
    this->fleet["router-1"].kill();
    this->fleet["router-1"].start();
    EXPECT_TRUE(this->fleet.wait_until_ready(1, milliseconds(5000))) << key;
    const auto answer = this->fleet.call(1, "behind", {});
    EXPECT_TRUE(answer && answer->status == 200) << key;
    this->fleet.forget_server(key);
  }
}

}  // namespace
}  // namespace boragehill::fleet_test
