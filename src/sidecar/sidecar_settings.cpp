#include "sidecar/sidecar_settings.hpp"

#include "kernel/settings_document.hpp"

namespace boragehill::sidecar {

sidecar_settings read_sidecar_settings(kernel::settings_document& document) {
  constexpr std::int64_t lowest_port = 1;
  constexpr std::int64_t highest_port = 65534;
  sidecar_settings settings;
  auto process = document.section("process");
  settings.id = process.text("id", std::nullopt);
  settings.address = process.text("address", std::nullopt);
  settings.link_port = static_cast<std::uint16_t>(
      process.number("link_port", std::nullopt, lowest_port, highest_port));
  auto store = document.section("store");
  settings.store_plugin = store.text("plugin", "rows");
  settings.store = store.address("address", std::nullopt);
  settings.feed_wait = store.duration("feed_wait_ms", settings.feed_wait,
                                      milliseconds(100), milliseconds(30000));
  auto worker = document.section("worker");
  settings.worker_plugin = worker.text("plugin", "http");
  settings.worker = worker.address("address", std::nullopt);
  settings.service = worker.text("service", std::nullopt);
  return settings;
}

}  // namespace boragehill::sidecar
