#include "platform/http_vm_list.hpp"

#include <memory>
#include <optional>
#include <string>

#include <boragehill/result_code.hpp>
#include <boragehill/vm_info.hpp>

#include "kernel/json_text.hpp"
#include "kernel/plugin_settings.hpp"
#include "kernel/registrar.hpp"
#include "platform/http_answer.hpp"
#include "platform/http_status.hpp"

namespace boragehill::platform {

namespace {

const kernel::registrar<vm_list> registration(
    "http", [](const kernel::plugin_settings& settings) {
      return std::make_unique<http_vm_list>(settings);
    });

std::optional<vm_role> role_of(const std::string& text) {
  if (text == "router") return vm_role::router;
  if (text == "model_server") return vm_role::model_server;
  if (text == "service_server") return vm_role::service_server;
  return std::nullopt;
}

std::optional<vm_state> state_of(const std::string& text) {
  if (text == "live") return vm_state::live;
  if (text == "leaving") return vm_state::leaving;
  return std::nullopt;
}

/// Returns a member's text; empty where there is none, and never throws.
std::string text_of(const Json::Value& value, const char* name) {
  return value[name].isString() ? value[name].asString() : std::string();
}

std::optional<vm_info> vm_of(const Json::Value& value) {
  if (!value.isObject()) return std::nullopt;
  const std::string id = text_of(value, "id");
  const auto role = role_of(text_of(value, "role"));
  const auto state = state_of(text_of(value, "state"));
  const auto control = endpoint::parse(text_of(value, "control"));
  const auto data = endpoint::parse(text_of(value, "data"));
  if (id.empty() || !role || !state || !control || !data) return std::nullopt;
  return vm_info{.id = id,
                 .role = *role,
                 .state = *state,
                 .control = *control,
                 .data = *data,
                 .failure_domain = text_of(value, "failure_domain"),
                 .region = text_of(value, "region"),
                 .pool = text_of(value, "pool")};
}

}  // namespace

http_vm_list::http_vm_list(const kernel::plugin_settings& settings)
    : caller(settings.address, settings.timeout) {}

result<std::vector<vm_info>> http_vm_list::list() {
  const std::lock_guard lock(this->mutex);
  const auto answer = this->caller.send("GET", "/vms", {}, {}, this->last_etag);
  if (!answer) return result_code::platform_down;
  const int status = answer.value().status;
  if (status == status_not_modified && !this->last_etag.empty()) {
    return this->last;
  }
  if (status != status_ok) return read_error_of(status);
  auto vms = this->take(answer.value());
  if (!vms) return vms;
  this->last = vms.value();
  this->last_etag = answer.value().etag;
  return vms;
}

result<std::vector<vm_info>> http_vm_list::take(const http_answer& answer) {
  const auto value = kernel::parse_json(answer.body);
  if (!value || !value->isObject() || !(*value)["vms"].isArray()) {
    return result_code::platform_bad_answer;
  }
  // A line that can't be read spoils the whole list: leaving it out would show
  // a VM as gone, and what it may still hold would be given to another.
  std::vector<vm_info> vms;
  for (const Json::Value& item : (*value)["vms"]) {
    auto vm = vm_of(item);
    if (!vm) return result_code::platform_bad_answer;
    vms.push_back(std::move(*vm));
  }
  return vms;
}

}  // namespace boragehill::platform
