// The configuration that a small fleet's operator writes.

#include <absl/strings/escaping.h>

#include "fleet-test/small_fleet.hpp"
#include "kernel/json_text.hpp"

namespace boragehill::fleet_test {

namespace {

constexpr double weights_mb = 70000;

}  // namespace

void small_fleet::set_accounts(const std::string& accounts) {
  this->accounts = accounts;
}

void small_fleet::configure(std::int64_t version, const std::string& prefix,
                            std::optional<int> models, std::size_t padding,
                            bool status_check) {
  Json::Value config;
  if (padding > 0) config["padding"] = std::string(padding, 'x');
  config["version"] = Json::Int64(version);
  Json::Value stream;
  stream["name"] = "r-stream";
  stream["host"] = "valves.example";
  stream["prefix"] = "/stream/";
  stream["kind"] = "stream";
  stream["timeoutMs"] = 10000;
  stream["sloMs"] = 500;
  stream["service"] = "assist";
  stream["attempts"] = 1;
  Json::Value plain = stream;
  plain["name"] = "r-plain";
  plain["prefix"] = prefix;
  plain["kind"] = "non_idempotent";
  plain["service"] = "sheets";
  config["routes"].append(stream);
  config["routes"].append(plain);
  Json::Value resumable = stream;
  resumable["name"] = "r-resumable";
  resumable["prefix"] = "/stream/r/";
  resumable["resumable"] = true;
  resumable["attempts"] = 2;
  config["routes"].append(resumable);
  Json::Value lookup = plain;
  lookup["name"] = "r-lookup";
  lookup["prefix"] = "/lookup/";
  lookup["kind"] = "idempotent";
  lookup["attempts"] = 2;
  config["routes"].append(lookup);
  Json::Value assist;
  assist["name"] = "assist";
  assist["maxConns"] = 100;
  auto& engine = assist["engine"];
  engine["weightsMb"] = weights_mb * places + 1;
  engine["adapterSlots"] = 2;
  engine["slots"] = 8;
  engine["loadsPerS"] = 10;
  if (status_check) assist["healthPath"] = "/healthz";
  for (int each = 1; each <= models.value_or(this->models); ++each) {
    Json::Value model;
    model["name"] = numbered("model", each);
    model["weightsMb"] = weights_mb;
    model["adapterMb"] = 0.1;
    model["adapters"] = 3;
    model["loadS"] = 2;
    model["diskS"] = 0.3;
    model["warmS"] = 0.1;
    engine["models"].append(model);
  }
  Json::Value sheets;
  sheets["name"] = "sheets";
  sheets["maxConns"] = this->plain_connections;
  config["services"].append(assist);
  config["services"].append(sheets);
  auto& limits = config["limits"];
  limits["maxHeaderBytes"] = 2048;
  limits["maxBodyBytes"] = Json::UInt64(this->max_body_bytes);
  limits["headerTimeoutMs"] = 400;
  limits["idleTimeoutMs"] = Json::Int64(this->idle_timeout.count());
  if (const auto tenants = kernel::parse_json(this->accounts)) {
    config["tenants"] = *tenants;
    constexpr int lookups = 3;
    config["routes"][lookups]["public"] = true;
  }
  Json::Value call;
  call["table"] = "op";
  call["key"] = "config";
  call["value"] = absl::Base64Escape(kernel::write_json(config));
  this->post("store", "/standin/put", kernel::write_json(call));
}

}  // namespace boragehill::fleet_test
