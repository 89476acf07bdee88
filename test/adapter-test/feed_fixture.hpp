#ifndef BORAGEHILL_ADAPTER_TEST_FEED_FIXTURE_HPP
#define BORAGEHILL_ADAPTER_TEST_FEED_FIXTURE_HPP

#include <asio/io_context.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>

#include "adapter-test/fake_store.hpp"
#include "platform/table_feed.hpp"
#include "serve/node_settings.hpp"

namespace boragehill::platform {

/// A confirmed change has to be in force this much later.
inline constexpr milliseconds in_force_limit{2000};

/// A store, and a feed of its row.
class feed_fixture : public testing::Test {
 protected:
  void begin() {
    this->feed = std::make_unique<table_feed>(
        this->context, this->store.address(), "t",
        serve::node_settings{}.feed_wait,
        [this](const row_batch& batch, bool) {
          for (const auto& each : batch.rows) this->known = each.value;
        },
        [this](bool reached) { this->in_reach = reached; });
    this->feed->start();
  }

  /// Lets the feed and the store run until something holds.
  /// \return How long that took; nothing if it didn't in time.
  std::optional<milliseconds> run_until(const std::function<bool()>& holds,
                                        milliseconds longest) {
    const auto began = time_point::clock::now();
    const auto passed = [&] {
      return milliseconds(ms_between(began, time_point::clock::now()));
    };
    while (!holds()) {
      if (passed() > longest) return std::nullopt;
      this->context.run_one_for(milliseconds(10));
      this->context.restart();
    }
    return passed();
  }

  std::optional<milliseconds> time_to_learn(const std::string& value,
                                            milliseconds longest) {
    return this->run_until([&] { return this->known == value; }, longest);
  }

  bool learns(const std::string& value, milliseconds longest) {
    return this->time_to_learn(value, longest).has_value();
  }

  asio::io_context context;
  fake_store store{this->context};
  std::string known;
  bool in_reach = false;
  std::unique_ptr<table_feed> feed;
};

}  // namespace boragehill::platform

#endif  // BORAGEHILL_ADAPTER_TEST_FEED_FIXTURE_HPP
