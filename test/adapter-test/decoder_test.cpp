#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

#include <boragehill/result_code.hpp>

#include "http/whole_answer.hpp"
#include "platform/catalog_decoder.hpp"
#include "platform/lifetime.hpp"
#include "platform/planner_row_codec.hpp"
#include "platform/quarantine_row_codec.hpp"
#include "platform/row_codec.hpp"
#include "platform/server_decoder.hpp"

namespace boragehill::platform {
namespace {

constexpr auto config = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/x/","kind":"stream",
   "timeoutMs":25000,"sloMs":3000,"priority":2,"service":"s1","attempts":2,
   "resumable":true},
  {"name":"r2","host":"a.example","prefix":"/x/y/","kind":"idempotent",
   "timeoutMs":12000,"sloMs":500,"priority":0,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
  {"name":"r3","host":"a.example","prefix":"/z/","kind":"novel",
   "timeoutMs":1,"sloMs":1,"priority":0,"service":"s2"}],
  "services":[{"name":"s1","maxConns":360,"engine":{"slots":64,
   "kvTokens":165548,"models":[{"name":"m","weightsMb":72700.0,"loadS":6.0,
   "adapters":3,"adapterMb":66.0,"warmS":0.6,"diskS":1.3}],
   "weightsMb":230000.0,"adapterSlots":8,"loadsPerS":2.4}},
  {"name":"s2","maxConns":100}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

TEST(catalog_decoder_test, reads_routes_services_and_limits) {
  const auto decoded = decode_catalog(config);
  ASSERT_TRUE(decoded);
  const auto& catalog = *decoded.value();
  EXPECT_EQ(catalog.version, 7);
  const auto* route = catalog.find_route("a.example", "/x/1");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->name, "r1");
  EXPECT_EQ(route->rule, fleet::repeat_rule::stream);
  EXPECT_TRUE(route->resumable);
  EXPECT_EQ(route->timeout, milliseconds(25000));
  const auto* longer = catalog.find_route("a.example", "/x/y/1");
  ASSERT_NE(longer, nullptr);
  EXPECT_EQ(longer->name, "r2");
  EXPECT_EQ(longer->targets.size(), 2U);
  EXPECT_EQ(catalog.find_route("b.example", "/x/1"), nullptr);
  EXPECT_EQ(catalog.find_route("a.example", "/x"), nullptr);
  const auto* service = catalog.find_service("s1");
  ASSERT_NE(service, nullptr);
  EXPECT_TRUE(service->has_engine);
  EXPECT_EQ(service->find_model("m")->disk_load, milliseconds(1300));
  EXPECT_TRUE(service->find_model("m")->has_adapter("a3"));
  EXPECT_FALSE(service->find_model("m")->has_adapter("a4"));
  EXPECT_FALSE(catalog.find_service("s2")->has_engine);
  EXPECT_EQ(catalog.limits.idle_timeout, milliseconds(15000));
}

TEST(catalog_decoder_test, a_kind_it_does_not_know_runs_at_most_once) {
  // The operator names a kind that is newer than this build: repeating such
  // a request could do twice what must be done once.
  const auto decoded = decode_catalog(config);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value()->find_route("a.example", "/z/")->rule,
            fleet::repeat_rule::once);
}

std::string with_accounts(const std::string& accounts) {
  return R"({"version":8,"routes":[{"name":"r","host":"a","prefix":"/",
      "service":"s","public":true}],"services":[],"tenants":)" +
         accounts + "}";
}

TEST(catalog_decoder_test, reads_client_accounts) {
  const auto decoded = decode_catalog(with_accounts(
      R"([{"name":"a","apiKeys":["k1","k2"],"priority":1,"unit":"tokens",
      "plainTokens":200,"ratePerS":4200,"burst":8400},
      {"name":"b","apiKeys":[]}])"));
  ASSERT_TRUE(decoded);
  const auto& accounts = decoded.value()->accounts;
  ASSERT_NE(accounts.find("k2"), nullptr);
  const auto& found = *accounts.find("k2");
  EXPECT_EQ(found.priority, 1);
  EXPECT_EQ(found.quota.per_second, 4200);
  EXPECT_EQ(found.quota.burst, 8400);
  EXPECT_EQ(found.quota.cost_of({}), 200);
  EXPECT_EQ(found.quota.cost_of({.prompt_tokens = 900, .output_tokens = 80}),
            980);
  ASSERT_EQ(accounts.all().size(), 2U);
  EXPECT_FALSE(accounts.all()[1].quota.is_limited());
  EXPECT_EQ(accounts.all()[1].quota.cost_of({.prompt_tokens = 900}), 1);
  EXPECT_TRUE(decoded.value()->routes.front().is_public);
}

// Guards against accounts in force that can't be told apart.
TEST(catalog_decoder_test, rejects_accounts_that_are_mixed_up_with_a_cause) {
  for (const auto* accounts :
       {R"([{"apiKeys":["k1"]}])",
        R"([{"name":"a","apiKeys":["k1"]},{"name":"b","apiKeys":["k1"]}])",
        R"([{"name":"a","apiKeys":[{}]}])",
        R"([{"name":"a","priority":"high"}])", R"([7])"}) {
    std::string cause;
    EXPECT_FALSE(decode_catalog(with_accounts(accounts), &cause)) << accounts;
    EXPECT_FALSE(cause.empty()) << accounts;
    EXPECT_EQ(cause.find("k1"), std::string::npos) << cause;
  }
}

TEST(catalog_decoder_test, refuses_what_is_no_configuration) {
  for (const char* text : {"", "[]", "{\"routes\":3}", "{\"version\":{}}",
                           "{\"routes\":[{\"name\":[]}]}"}) {
    EXPECT_FALSE(decode_catalog(text)) << text;
  }
}

TEST(server_decoder_test, reads_an_entry) {
  const auto decoded = decode_server(
      "i-1",
      R"({"service":"s1","addr":"10.0.0.9:8080","zone":"z","slots":64,
      "state":"draining","seq":2,"models":[{"name":"m","version":1,
      "adapters":["a1"]}],"atHand":{"inMemory":["m"],"onDisk":["m","n"]}})");
  ASSERT_TRUE(decoded);
  const auto& server = decoded.value();
  EXPECT_EQ(server.id, "i-1");
  EXPECT_TRUE(server.draining);
  EXPECT_EQ(server.address.port, 8080);
  EXPECT_EQ(server.models.front().adapters.front(), "a1");
  EXPECT_EQ(server.on_disk.size(), 2U);
  EXPECT_EQ(server.software, "");
  EXPECT_FALSE(decode_server("i-1", R"({"addr":"nowhere"})"));
  EXPECT_FALSE(decode_server("i-1", "7"));
}

/// A whole entry with one member's value replaced, or left out if empty.
std::string entry_with(const std::string& name, const std::string& value) {
  const std::vector<std::pair<std::string, std::string>> fields{
      {"service", R"("s1")"},
      {"addr", R"("10.0.0.9:8080")"},
      {"zone", R"("z")"},
      {"slots", "64"},
      {"state", R"("ready")"},
      {"seq", "2"},
      {"version", R"("1.4.2")"},
      {"born", "1764721718000"},
      {"models", R"([{"name":"m","adapters":["a1"]}])"},
      {"atHand", R"({"inMemory":["m"],"onDisk":["m"]})"}};
  std::string text;
  for (const auto& [each, usual] : fields) {
    const auto& written = each == name ? value : usual;
    if (written.empty()) continue;
    absl::StrAppend(&text, text.empty() ? "{\"" : ",\"", each, "\":", written);
  }
  return text + "}";
}

TEST(server_decoder_test, reads_the_version_of_a_servers_software) {
  const std::map<std::string, std::string> cases{
      {R"("1.4.2")", "1.4.2"}, {"7", "7"}, {R"("")", ""}, {"", ""}};
  for (const auto& [written, software] : cases) {
    const auto decoded = decode_server("i-1", entry_with("version", written));
    ASSERT_TRUE(decoded) << written;
    EXPECT_EQ(decoded.value().software, software) << written;
  }
  EXPECT_FALSE(decode_server("i-1", entry_with("version", "[]")));
}

TEST(server_decoder_test, an_entry_of_another_writer_is_no_server) {
  // Fields are missing or of another type: a number as a text, null, a list for
  // an object. Read loosely they named a server with no slots, or one that was
  // taken for ready because its state is no word that we know.
  ASSERT_TRUE(decode_server("i-1", entry_with("", "")));
  ASSERT_TRUE(decode_server("i-1", entry_with("born", "")));
  ASSERT_TRUE(decode_server("i-1", entry_with("models", "")));
  for (const char* name :
       {"service", "addr", "zone", "slots", "state", "seq"}) {
    EXPECT_FALSE(decode_server("i-1", entry_with(name, ""))) << name;
  }
  for (const char* name : {"service", "addr", "zone", "slots", "state", "seq",
                           "born", "models", "atHand"}) {
    for (const char* value : {"null", "true", R"("")", R"("64x")", "{\"a\":1}",
                              "[7]", "-1", "1e300", "0.5"}) {
      const auto text = entry_with(name, value);
      const bool a_text =
          std::string(value) == R"("64x")" &&
          (std::string(name) == "service" || std::string(name) == "zone");
      const bool an_object = std::string(name) == "atHand" && value[0] == '{';
      EXPECT_EQ(decode_server("i-1", text).has_value(), a_text || an_object)
          << text;
    }
  }
  for (const char* models : {R"([{"name":7}])", R"([{}])", R"([{"name":"m",
       "adapters":{}}])",
                             R"([{"name":"m","adapters":[7]}])",
                             R"([{"name":"m","adapters":[{"name":null}]}])"}) {
    EXPECT_FALSE(decode_server("i-1", entry_with("models", models))) << models;
  }
  EXPECT_FALSE(decode_server(
      "i-1", entry_with("atHand", R"({"inMemory":"m","onDisk":[]})")));
  EXPECT_FALSE(decode_server("", entry_with("", "")));
  EXPECT_FALSE(decode_server("i-1", entry_with("addr", R"("10.0.0.9:0")")));
  EXPECT_FALSE(decode_server("i-1", entry_with("zone", "\"\xff\xfe\"")));
  const auto whole = entry_with("", "");
  for (std::size_t end = 0; end < whole.size(); ++end) {
    EXPECT_FALSE(decode_server("i-1", whole.substr(0, end))) << end;
  }
  EXPECT_FALSE(decode_server("i-1", std::string(1 << 20, 'x')));
  EXPECT_FALSE(decode_server("i-1", std::string(1 << 20, '[')));
}

TEST(server_decoder_test, says_what_is_wrong_with_an_entry) {
  std::string problem;
  EXPECT_FALSE(decode_server("i-1", entry_with("slots", R"("64")"), &problem));
  EXPECT_EQ(problem, "slots: not a whole number of a sensible size");
  EXPECT_FALSE(decode_server("i-1", entry_with("state", R"("odd")"), &problem));
  EXPECT_EQ(problem, "state: not known");
}

TEST(server_decoder_test, a_lifetime_is_an_id_and_its_start) {
  const auto first = decode_server("i-1", entry_with("born", "1000"));
  const auto second = decode_server("i-1", entry_with("born", "1001"));
  const auto other = decode_server("i-2", entry_with("born", "1000"));
  ASSERT_TRUE(first && second && other);
  EXPECT_NE(first.value().id, second.value().id);
  EXPECT_NE(first.value().id, other.value().id);
  EXPECT_EQ(registered_id(first.value().id), "i-1");
  EXPECT_EQ(registered_id("i-1"), "i-1");
}

TEST(server_decoder_test, reads_a_report) {
  const auto decoded = decode_report(
      R"({"models":[{"name":"m","version":1,"adapters":[]}],"busy":true,
      "seq":4,"coming":["m/a1@2"],"running":3,"waiting":1})");
  ASSERT_TRUE(decoded);
  EXPECT_TRUE(decoded.value().busy);
  EXPECT_EQ(decoded.value().sequence, 4);
  EXPECT_EQ(decoded.value().coming.front(), "m/a1");
  EXPECT_FALSE(decode_report("{"));
}

TEST(planner_row_codec_test, an_unreadable_row_names_nobody) {
  // Another program overwrote the row that names the planner. A field of
  // another type threw, the answer never reached who had asked, and that router
  // looked for a planner no more.
  const fleet::planner_row own{
      .term = 4, .version = 4, .router = "r1", .address = {"10.0.0.1", 7}};
  EXPECT_EQ(decode_planner(encode_planner(own), {0, 4}), own);
  for (const char* text :
       {"", "7", "[]", R"({"router":{},"address":[]})", R"({"router":"r1"})",
        R"({"router":"r1","address":7})",
        R"({"router":"r1","address":"10.0.0.1:0"})",
        R"({"router":"r1","address":"x"})"}) {
    const auto decoded = decode_planner(text, {0, 9});
    EXPECT_EQ(decoded, (fleet::planner_row{.term = 9, .version = 9})) << text;
  }
}

TEST(row_codec_test, reads_rows_and_refuses_broken_ones) {
  const auto decoded = decode_rows(
      R"({"rows":[{"table":"t","key":"k","value":"bm9kZS0x","ver":3},
      {"table":"t","key":"l","ver":4,"deleted":true}],"ver":9,
      "hasMore":true})");
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value().rows[0].value, "node-1");
  EXPECT_TRUE(decoded.value().rows[1].deleted);
  EXPECT_EQ(decoded.value().version, 9);
  EXPECT_TRUE(decoded.value().more);
  EXPECT_FALSE(decode_rows(R"({"rows":[{"key":"k","value":"%%%"}]})"));
  EXPECT_FALSE(decode_rows(R"({"rows":[7]})"));
  EXPECT_FALSE(decode_rows("rows"));
}

http::whole_answer answer_in_era(const std::string& era) {
  http::whole_answer answer{.body = R"({"rows":[],"ver":9})"};
  answer.head.headers.add("Store-Era", era);
  return answer;
}

TEST(row_codec_test, reads_the_era_of_an_answer) {
  const auto decoded = decode_answer(answer_in_era("3"));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value().position(), (store_position{3, 9}));
  const auto unnamed =
      decode_answer(http::whole_answer{.body = R"({"rows":[],"ver":9})"});
  ASSERT_TRUE(unnamed);
  EXPECT_EQ(unnamed.value().position(), (store_position{0, 9}));
}

TEST(row_codec_test, an_answer_of_an_unknown_era_is_refused) {
  // Guards against fences that are lower for want of their era.
  for (const char* era :
       {"", "x", "-1", "1.5", "1048577", "1e3", "99999999999999999999"}) {
    EXPECT_FALSE(decode_answer(answer_in_era(era))) << era;
  }
}

RC_GTEST_PROP(store_position_test, a_later_position_has_the_higher_number,
              (std::uint32_t version, std::uint32_t lost, std::uint8_t era)) {
  // Guards against numbers that are given out twice, or lower than before,
  // after the store was restored from an older copy.
  const std::int64_t newest = std::int64_t{version} + lost;
  const store_position last{era, newest};
  const store_position next{era, newest + 1};
  const store_position restored{std::int64_t{era} + 1, std::int64_t{version}};
  RC_ASSERT(last.fencing_number() < next.fencing_number());
  RC_ASSERT(last.fencing_number() < restored.fencing_number());
}

TEST(store_position_test, numbers_are_exact_in_json) {
  constexpr std::int64_t exact_limit = std::int64_t{1} << 53;
  const store_position last{store_position::max_era,
                            store_position::max_lost_versions};
  EXPECT_LT(last.fencing_number(), exact_limit);
}

TEST(row_codec_test, writes_a_condition_only_where_there_is_one) {
  const auto any = write_request("t", "k", "v", std::nullopt, "h:1");
  EXPECT_NE(any.find(R"("expected":[])"), std::string::npos) << any;
  const auto none = write_request("t", "k", "v", 0, "h:1");
  EXPECT_NE(none.find(R"("ver":0)"), std::string::npos) << none;
}

TEST(quarantine_row_codec_test, reads_what_was_written) {
  const fleet::quarantine_row row{.version = 7,
                                  .requests = {{"0a1b", 1764800000000}},
                                  .parts = {{"5c1e", 1764800000500}}};
  EXPECT_EQ(decode_quarantine(encode_quarantine(row), 7), row);
}

TEST(quarantine_row_codec_test, an_unreadable_row_quarantines_nothing) {
  for (const char* text :
       {"", "\xff", "[]", "7", R"({"requests":[]})", R"({"parts":7})",
        R"({"requests":{"a":"b"},"parts":{}})", R"({"requests":{"a":-1}})"}) {
    EXPECT_EQ(decode_quarantine(text, 9), (fleet::quarantine_row{.version = 9}))
        << text;
  }
}

// Guards against callers that fill the store's row with parts of their prompts.
TEST(quarantine_row_codec_test, keeps_the_newest_that_fit_into_a_row) {
  constexpr std::size_t row_bytes = 65536;
  fleet::quarantine_row row;
  for (int each = 0; each < 5000; ++each) {
    const auto name = std::to_string(each) + std::string(50, 'x');
    row.requests.emplace(name, 1764800000000 + each);
    row.parts.emplace(name + std::string(1000, 'y'), 1764800000000);
    row.parts.emplace(name, 1764800000000 + each);
  }
  const auto text = encode_quarantine(row);
  EXPECT_LE(text.size(), row_bytes);
  const auto read = decode_quarantine(text, 1);
  EXPECT_TRUE(read.requests.contains("4999" + std::string(50, 'x')));
  EXPECT_TRUE(read.parts.contains("4999" + std::string(50, 'x')));
}

}  // namespace
}  // namespace boragehill::platform
