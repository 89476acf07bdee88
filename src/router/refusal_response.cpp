#include "router/refusal_response.hpp"

#include <httplib.h>
#include <json/json.h>

namespace boragehill::router {

std::string refusal_json(const refusal& refused) {
  Json::Value error(Json::objectValue);
  error["code"] = static_cast<int>(refused.code);
  error["name"] = std::string(name_of(refused.code));
  error["message"] = refused.message;
  error["ran"] = std::string(name_of(refused.ran));
  error["retry_after_ms"] =
      static_cast<Json::Int64>(refused.retry_after.count());
  Json::Value body(Json::objectValue);
  body["error"] = error;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, body);
}

void write_refusal(const refusal& refused, httplib::Response& response) {
  constexpr std::int64_t ms_per_second = 1000;
  response.status = http_status_of(refused.code);
  response.set_header("Boragehill-Ran", std::string(name_of(refused.ran)));
  const auto wait = refused.retry_after.count();
  if (wait > 0) {
    const auto seconds = (wait + ms_per_second - 1) / ms_per_second;
    response.set_header("Retry-After", std::to_string(seconds));
  }
  response.set_content(refusal_json(refused) + "\n", "application/json");
}

}  // namespace boragehill::router
