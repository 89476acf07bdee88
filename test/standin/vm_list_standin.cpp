#include "standin/vm_list_standin.hpp"

#include "kernel/json_text.hpp"
#include "standin/expected_answer.hpp"
#include "standin/standin_settings.hpp"

namespace boragehill::standin {

namespace {

using clock = std::chrono::steady_clock;

Json::Value empty_list() {
  Json::Value list;
  list["vms"] = Json::Value(Json::arrayValue);
  return list;
}

}  // namespace

vm_list_standin::vm_list_standin(const standin_settings& settings,
                                 standin_server& server)
    : lag(settings.lag) {
  server.on("GET", "/vms", [this](const auto& request, auto& response) {
    const Json::Value list = this->visible();
    const std::string etag = digest_of(kernel::write_json(list));
    response.set_header("ETag", etag);
    if (request.get_header_value("If-None-Match") == etag) {
      response.status = 304;
      return;
    }
    reply(response, 200, list);
  });
  server.on_control("/standin/vms", [this](const auto& request, auto& answer) {
    const Json::Value list = body_of(request);
    const bool sound = list["vms"].isArray();
    if (sound) this->replace(list);
    reply(answer, sound ? 200 : 400, Json::Value(Json::objectValue));
  });
  server.on_truth([this] { return this->truth(); });
}

void vm_list_standin::replace(const Json::Value& list) {
  const std::scoped_lock lock(this->mutex);
  const clock::duration wait =
      this->versions.empty() ? clock::duration{0} : this->lag;
  this->versions.push_back({.visible_from = clock::now() + wait, .list = list});
}

Json::Value vm_list_standin::visible() {
  const std::scoped_lock lock(this->mutex);
  ++this->reads;
  if (this->versions.empty()) return empty_list();
  while (this->versions.size() > 1 &&
         this->versions[1].visible_from <= clock::now()) {
    this->versions.pop_front();
  }
  return this->versions.front().list;
}

Json::Value vm_list_standin::truth() {
  const std::scoped_lock lock(this->mutex);
  Json::Value body =
      this->versions.empty() ? empty_list() : this->versions.back().list;
  body["reads"] = Json::UInt64{this->reads};
  return body;
}

}  // namespace boragehill::standin
