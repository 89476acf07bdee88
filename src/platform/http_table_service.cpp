#include "platform/http_table_service.hpp"

#include <memory>

#include <boragehill/result_code.hpp>

#include "kernel/json_text.hpp"
#include "kernel/plugin_settings.hpp"
#include "kernel/registrar.hpp"
#include "platform/http_answer.hpp"
#include "platform/http_status.hpp"

namespace boragehill::platform {

namespace {

const kernel::registrar<table_service> registration(
    "http", [](const kernel::plugin_settings& settings) {
      return std::make_unique<http_table_service>(settings);
    });

std::optional<table_row> row_of(const Json::Value& value) {
  if (!value.isObject()) return std::nullopt;
  if (!value["key"].isString() || !value["value"].isString() ||
      !value["etag"].isString()) {
    return std::nullopt;
  }
  return table_row{.key = value["key"].asString(),
                   .value = value["value"].asString(),
                   .etag = value["etag"].asString()};
}

Json::Value json_of(const table_write& write) {
  Json::Value value;
  value["key"] = write.key;
  value["etag"] = write.etag;
  value["value"] = write.value ? Json::Value(*write.value) : Json::Value();
  value["check_only"] = write.check_only;
  return value;
}

std::optional<std::vector<std::string>> etags_of(const std::string& body,
                                                 std::size_t count) {
  const auto value = kernel::parse_json(body);
  if (!value || !value->isObject()) return std::nullopt;
  const Json::Value& list = (*value)["etags"];
  if (!list.isArray() || list.size() != count) return std::nullopt;
  std::vector<std::string> etags;
  for (const Json::Value& etag : list) {
    if (!etag.isString()) return std::nullopt;
    etags.push_back(etag.asString());
  }
  return etags;
}

/// Sends a read; as reads change nothing, a lost answer is an outage.
result<http_answer> send_read(const http_caller& caller,
                              const std::string& target, const char* name,
                              const std::string& text) {
  Json::Value question;
  question[name] = text;
  auto answer = caller.send("POST", target, kernel::write_json(question));
  if (!answer) return result_code::platform_down;
  return answer;
}

}  // namespace

http_table_service::http_table_service(const kernel::plugin_settings& settings)
    : caller(settings.address, settings.timeout) {}

result<std::optional<table_row>> http_table_service::read(
    const std::string& key) {
  const auto answer = send_read(this->caller, "/table/read", "key", key);
  if (!answer) return answer.error();
  if (answer.value().status == status_not_found) {
    return std::optional<table_row>();
  }
  if (answer.value().status != status_ok) {
    return read_error_of(answer.value().status);
  }
  const auto value = kernel::parse_json(answer.value().body);
  if (!value) return result_code::platform_bad_answer;
  auto row = row_of(*value);
  if (!row || row->key != key) return result_code::platform_bad_answer;
  return row;
}

result<std::vector<table_row>> http_table_service::read_prefix(
    const std::string& prefix) {
  const auto answer =
      send_read(this->caller, "/table/read_prefix", "prefix", prefix);
  if (!answer) return answer.error();
  if (answer.value().status != status_ok) {
    return read_error_of(answer.value().status);
  }
  const auto value = kernel::parse_json(answer.value().body);
  if (!value || !value->isObject() || !(*value)["rows"].isArray()) {
    return result_code::platform_bad_answer;
  }
  std::vector<table_row> rows;
  for (const Json::Value& item : (*value)["rows"]) {
    auto row = row_of(item);
    if (!row) return result_code::platform_bad_answer;
    rows.push_back(std::move(*row));
  }
  return rows;
}

result<std::vector<std::string>> http_table_service::transact(
    const std::vector<table_write>& writes) {
  Json::Value question;
  question["writes"] = Json::Value(Json::arrayValue);
  for (const table_write& write : writes) {
    question["writes"].append(json_of(write));
  }
  const auto answer = this->caller.send("POST", "/table/transact",
                                        kernel::write_json(question));
  if (!answer) return answer.error();
  if (answer.value().status != status_ok) {
    return write_error_of(answer.value().status);
  }
  // An unreadable answer to an accepted transaction is a lost one: the write
  // stands and only its etags are unknown.
  auto etags = etags_of(answer.value().body, writes.size());
  if (!etags) return result_code::platform_answer_lost;
  return std::move(*etags);
}

}  // namespace boragehill::platform
