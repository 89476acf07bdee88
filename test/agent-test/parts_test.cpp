#include <algorithm>
#include <gtest/gtest.h>

#include <boragehill/vm_info.hpp>

#include "agent/agent_settings.hpp"
#include "agent/attempt_target.hpp"
#include "agent/frame_sink.hpp"
#include "agent/kept_answers.hpp"
#include "agent/own_row.hpp"
#include "agent/report_routes.hpp"
#include "fake_table.hpp"
#include "wire/row_fields.hpp"

namespace boragehill::agent {
namespace {

constexpr char whole_file[] = R"(
[agent]
id = "s1"
failure_domain = "d1"
control = "127.0.0.1:17201"
data = "127.0.0.1:17202"
[backend]
address = "127.0.0.1:17203"
[table]
address = "127.0.0.1:17204"
[vm_list]
address = "127.0.0.1:17205"
)";

TEST(agent_settings_test, advertises_where_it_listens_unless_told) {
  auto document = kernel::settings_document::parse(whole_file, "a.toml");
  const agent_settings settings = read_agent_settings(document);
  EXPECT_TRUE(document.finish().empty());
  EXPECT_EQ(settings.advertised_data, settings.data);
  EXPECT_EQ(settings.backend.plugin, "model_engine");
}

TEST(agent_settings_test, names_a_missing_key_and_an_unknown_kind) {
  auto document =
      kernel::settings_document::parse("[agent]\nkind = \"odd\"\n", "a.toml");
  read_agent_settings(document);
  const auto problems = document.finish();
  const auto names = [&](const char* key) {
    return std::any_of(problems.begin(), problems.end(), [&](const auto& p) {
      return p.key.find(key) != std::string::npos;
    });
  };
  EXPECT_TRUE(names("id"));
  EXPECT_TRUE(names("kind"));
}

TEST(own_row_test, keeps_the_grants_when_it_takes_a_fence) {
  fake_rows rows;
  fake_table table(rows);
  rows.put("server/s1", wire::to_text(server_record{
                            .id = "s1", .fence = 4, .grants = {{"a", 60}}}));
  own_row row(table, {.id = "s1", .failure_domain = "d1"});
  EXPECT_EQ(row.take_fence(100).value(), 5U);
  const auto record = row.read().value();
  EXPECT_EQ(record.grants, (std::vector<grant>{{"a", 60}}));
  EXPECT_EQ(record.capacity_bytes, 100U);
  EXPECT_EQ(row.take_fence(0).value(), 6U);
  EXPECT_EQ(row.read().value().capacity_bytes, 100U);
}

TEST(report_routes_test, tells_two_live_routers_of_each_region) {
  std::vector<vm_info> vms;
  for (const char* id : {"r1", "r2", "r3", "r4"}) {
    const auto port = static_cast<std::uint16_t>(vms.size() + 1);
    vms.push_back({.id = id,
                   .control = {"127.0.0.1", port},
                   .region = vms.size() < 3 ? "east" : "west"});
  }
  EXPECT_EQ(routes_of({"model:a"}, vms).by_router.size(), 3U);
  vms.back().state = vm_state::leaving;
  EXPECT_EQ(routes_of({"model:a"}, vms).by_router.size(), 2U);
}

TEST(kept_answers_test, drops_the_oldest_when_full_and_takes_none_too_large) {
  kept_answers answers(10);
  answers.keep({"r", 1, 1}, "12345");
  answers.keep({"r", 2, 1}, "12345");
  answers.keep({"r", 3, 1}, "123");
  answers.keep({"r", 4, 1}, "12345678901");
  EXPECT_EQ(answers.find({"r", 1, 1}), nullptr);
  EXPECT_NE(answers.find({"r", 2, 1}), nullptr);
  EXPECT_EQ(answers.find({"r", 4, 1}), nullptr);
  EXPECT_EQ(answers.bytes(), 8U);
}

TEST(frame_sink_test, stops_for_a_gone_router_unless_it_runs_to_the_end) {
  const auto gone = [](std::string_view) { return false; };
  frame_sink idempotent(gone, 0, false);
  EXPECT_FALSE(idempotent.head(200, "text/plain"));
  frame_sink once(gone, 1, true);
  EXPECT_TRUE(once.head(200, "text/plain"));
  EXPECT_TRUE(once.piece("too long to be kept"));
  EXPECT_TRUE(once.copy().empty());
  EXPECT_FALSE(once.delivered());
}

TEST(attempt_target_test, reads_models_and_pools_and_nothing_else) {
  EXPECT_EQ(attempt_target::parse("model:a", "x"),
            (attempt_target{.model = "a", .adapter = "x"}));
  EXPECT_EQ(attempt_target::parse("pool:web", ""),
            (attempt_target{.pool = "web"}));
  EXPECT_EQ(attempt_target::parse("model:", ""), std::nullopt);
  EXPECT_EQ(attempt_target::parse("a", ""), std::nullopt);
}

}  // namespace
}  // namespace boragehill::agent
