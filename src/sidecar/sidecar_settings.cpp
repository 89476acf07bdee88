#include "sidecar/sidecar_settings.hpp"

#include "kernel/settings_document.hpp"

namespace boragehill::sidecar {

namespace {

/// An agent needs only the sizes of models from the feed. A poll that a silent
/// store swallowed is noticed after this, and a change has to be in force
/// everywhere after 15 s.
constexpr milliseconds calm_feed_wait{10000};

}  // namespace

sidecar_settings read_sidecar_settings(kernel::settings_document& document) {
  sidecar_settings settings;
  settings.feed_wait = calm_feed_wait;
  serve::read_node_settings(document, settings);
  auto worker = document.section("worker");
  settings.worker_plugin = worker.text("plugin", "http");
  settings.worker = worker.address("address", std::nullopt);
  settings.service = worker.text("service", std::nullopt);
  return settings;
}

}  // namespace boragehill::sidecar
