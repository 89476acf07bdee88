// A settings file of any content: problems, never a crash.

#include <cstdint>
#include <string>

#include "kernel/settings_document.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using boragehill::milliseconds;
  const std::string text(reinterpret_cast<const char*>(data), size);
  auto document = boragehill::kernel::settings_document::parse(text, "fuzz");
  auto section = document.section("router");
  (void)section.text("id", std::nullopt);
  (void)section.address("control", std::nullopt);
  (void)section.number("caller_threads", 256, 1, 4096);
  (void)section.duration("drain_ms", milliseconds(1), milliseconds(0),
                         milliseconds(1000));
  (void)section.real("retry_share", 0.1, 0.0, 1.0);
  for (auto& each : document.sections("model")) {
    (void)each.texts("adapters", std::nullopt);
  }
  (void)document.finish();
  return 0;
}
