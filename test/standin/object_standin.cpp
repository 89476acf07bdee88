#include "standin/object_standin.hpp"

namespace boragehill::standin {

namespace {

constexpr auto pattern = "/objects/(.+)";

}  // namespace

object_standin::object_standin(standin_server& server) {
  server.on("GET", pattern, [this](const auto& request, auto& response) {
    this->get(request.matches[1], response);
  });
  server.on("PUT", pattern, [this](const auto& request, auto& response) {
    this->put(request.matches[1], request.body);
    response.status = 204;
  });
  server.on("DELETE", pattern, [this](const auto& request, auto& response) {
    this->remove(request.matches[1]);
    response.status = 204;
  });
  server.on_truth([this] { return this->truth(); });
}

void object_standin::get(const std::string& name, httplib::Response& response) {
  const std::scoped_lock lock(this->mutex);
  ++this->gets;
  const auto found = this->objects.find(name);
  if (found == this->objects.end()) {
    return reply_error(response, 404, "no_object");
  }
  response.status = 200;
  response.set_content(found->second, "application/octet-stream");
}

void object_standin::put(const std::string& name, const std::string& value) {
  const std::scoped_lock lock(this->mutex);
  ++this->puts;
  this->objects[name] = value;
}

void object_standin::remove(const std::string& name) {
  const std::scoped_lock lock(this->mutex);
  this->objects.erase(name);
}

Json::Value object_standin::truth() {
  const std::scoped_lock lock(this->mutex);
  Json::Value body;
  body["objects"] = Json::UInt64{this->objects.size()};
  body["gets"] = Json::UInt64{this->gets};
  body["puts"] = Json::UInt64{this->puts};
  return body;
}

}  // namespace boragehill::standin
