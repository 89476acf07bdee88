#include <atomic>
#include <gtest/gtest.h>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

#include <boragehill/result_code.hpp>
#include <boragehill/vm_info.hpp>
#include <boragehill/vm_list.hpp>

#include "kernel/plugin_settings.hpp"
#include "kernel/registry.hpp"
#include "platform-test/scripted_server.hpp"

namespace boragehill {
namespace {

using test::answer;
using test::scripted_server;

const std::string sound_vm =
    R"({"id":"m1","role":"model_server","state":"leaving",)"
    R"("control":"127.0.0.1:7101","data":"127.0.0.1:7102",)"
    R"("failure_domain":"nw-a","region":"nw","pool":"assistant"})";

result<std::vector<vm_info>> list_from(const endpoint& address) {
  auto made = kernel::registry<vm_list>::instance().make(
      "http", {.address = address, .timeout = milliseconds{400}});
  return made.value()->list();
}

TEST(vm_list_test, reads_every_vm) {
  scripted_server server(answer(200, R"({"vms":[)" + sound_vm + "]}"));
  const auto vms = list_from(server.address());
  ASSERT_TRUE(vms);
  const vm_info expected{.id = "m1",
                         .role = vm_role::model_server,
                         .state = vm_state::leaving,
                         .control = {"127.0.0.1", 7101},
                         .data = {"127.0.0.1", 7102},
                         .failure_domain = "nw-a",
                         .region = "nw",
                         .pool = "assistant"};
  EXPECT_EQ(vms.value(), std::vector<vm_info>{expected});
}

TEST(vm_list_test, refuses_a_list_with_a_garbled_line) {
  // The platform garbles one line of its list. Left out, that VM would look
  // gone; its grants would go to another while it still holds its models, and
  // one replica too many would be loaded.
  for (const char* line : {R"({"id":"m2"})", "7", "null"}) {
    std::string body = R"({"vms":[)" + sound_vm;
    body.append(",").append(line).append("]}");
    scripted_server server(answer(200, body));
    EXPECT_EQ(list_from(server.address()).error(),
              result_code::platform_bad_answer);
  }
}

// A thousand VMs' list every two seconds to every process would be most of
// what a node may send and receive for control.
TEST(vm_list_test, fetches_a_list_again_only_once_it_changed) {
  httplib::Server server;
  std::string version = "v1";
  std::atomic<int> sent = 0;
  server.Get("/vms", [&](const auto& request, auto& response) {
    response.set_header("ETag", version);
    response.status = 304;
    if (request.get_header_value("If-None-Match") == version) return;
    response.status = 200;
    response.set_content(R"({"vms":[)" + sound_vm + "]}", "application/json");
    ++sent;
  });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread serving([&] { server.listen_after_bind(); });
  const auto made = kernel::registry<vm_list>::instance().make(
      "http", {.address = {"127.0.0.1", static_cast<std::uint16_t>(port)}});
  const auto first = made.value()->list();
  const auto second = made.value()->list();
  EXPECT_EQ(first.value(), second.value());
  EXPECT_EQ(second.value().size(), 1U);
  EXPECT_EQ(sent, 1);
  version = "v2";
  EXPECT_TRUE(made.value()->list());
  EXPECT_EQ(sent, 2);
  server.stop();
  serving.join();
}

TEST(vm_list_test, names_each_failure) {
  scripted_server down(answer(503, "{}"));
  EXPECT_EQ(list_from(down.address()).error(), result_code::platform_down);
  EXPECT_EQ(list_from(test::closed_address()).error(),
            result_code::platform_down);
  scripted_server garbled(answer(200, "[]"));
  EXPECT_EQ(list_from(garbled.address()).error(),
            result_code::platform_bad_answer);
}

}  // namespace
}  // namespace boragehill
