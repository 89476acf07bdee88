#include "platform/http_object_store.hpp"

#include <memory>
#include <string_view>

#include <boragehill/result_code.hpp>

#include "kernel/plugin_settings.hpp"
#include "kernel/registrar.hpp"
#include "platform/http_answer.hpp"
#include "platform/http_status.hpp"

namespace boragehill::platform {

namespace {

const kernel::registrar<object_store> registration(
    "http", [](const kernel::plugin_settings& settings) {
      return std::make_unique<http_object_store>(settings);
    });

constexpr std::string_view unreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
constexpr std::string_view hex_digits = "0123456789ABCDEF";

std::string target_of(const std::string& name) {
  std::string target = "/objects/";
  for (const char letter : name) {
    if (unreserved.find(letter) != std::string_view::npos) {
      target += letter;
      continue;
    }
    const auto byte = static_cast<unsigned char>(letter);
    target += '%';
    target += hex_digits[byte / hex_digits.size()];
    target += hex_digits[byte % hex_digits.size()];
  }
  return target;
}

bool is_done(int status) {
  return status == status_ok || status == status_no_content;
}

}  // namespace

http_object_store::http_object_store(const kernel::plugin_settings& settings)
    : caller(settings.address, settings.timeout) {}

result<std::optional<std::string>> http_object_store::get(
    const std::string& name) {
  auto answer = this->caller.send("GET", target_of(name));
  if (!answer) return result_code::platform_down;
  if (answer.value().status == status_not_found) {
    return std::optional<std::string>();
  }
  if (answer.value().status != status_ok) {
    return read_error_of(answer.value().status);
  }
  return std::optional<std::string>(std::move(answer.value().body));
}

result<void> http_object_store::put(const std::string& name,
                                    const std::string& value) {
  const auto answer = this->caller.send("PUT", target_of(name), value,
                                        "application/octet-stream");
  if (!answer) return answer.error();
  if (is_done(answer.value().status)) return success();
  return write_error_of(answer.value().status);
}

result<void> http_object_store::remove(const std::string& name) {
  const auto answer = this->caller.send("DELETE", target_of(name));
  if (!answer) return result_code::platform_down;
  const int status = answer.value().status;
  if (is_done(status) || status == status_not_found) return success();
  return read_error_of(status);
}

}  // namespace boragehill::platform
