#include "serve/node_settings.hpp"

#include "kernel/settings_document.hpp"

namespace boragehill::serve {

namespace {

constexpr std::int64_t lowest_port = 1;
constexpr std::int64_t highest_port = 65534;
constexpr milliseconds shortest_wait{100};
/// The store's own bound of a long poll.
constexpr milliseconds longest_wait{30000};

}  // namespace

void read_node_settings(kernel::settings_document& document,
                        node_settings& settings) {
  auto process = document.section("process");
  settings.id = process.text("id", std::nullopt);
  settings.address = process.text("address", std::nullopt);
  settings.link_port = static_cast<std::uint16_t>(
      process.number("link_port", std::nullopt, lowest_port, highest_port));
  auto store = document.section("store");
  settings.store_plugin = store.text("plugin", "rows");
  settings.store = store.address("address", std::nullopt);
  settings.feed_wait = store.duration("feed_wait_ms", settings.feed_wait,
                                      shortest_wait, longest_wait);
}

}  // namespace boragehill::serve
