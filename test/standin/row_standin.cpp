#include "standin/row_standin.hpp"

#include <chrono>
#include <cstdlib>
#include <utility>

#include "standin/standin_server.hpp"

namespace boragehill::standin {

namespace {

/// Of one answer.
constexpr Json::ArrayIndex most_rows = 500;
constexpr int ok_status = 200;
constexpr int history_gone_status = 410;
constexpr int condition_failed_status = 412;
/// The system's own table.
constexpr auto own_table = "boragehill";

std::string parameter(const httplib::Request& request, const char* name) {
  return request.get_param_value(name);
}

}  // namespace

row_standin::row_standin(standin_server& server) {
  server.on("POST", "/rows-tx", [this](const auto& request, auto& response) {
    this->transact(request, response);
  });
  server.on("GET", "/rows-get", [this](const auto& request, auto& response) {
    this->get(request, response);
  });
  server.on("GET", "/rows-feed", [this](const auto& request, auto& response) {
    this->feed(request, response);
  });
  server.on_control("/standin/put",
                    [this](const auto& request, auto& response) {
                      this->put(request, response);
                    });
  server.on_control("/standin/restore",
                    [this](const auto& request, auto& response) {
                      this->restore(request, response);
                    });
}

void row_standin::respond(httplib::Response& response, int status,
                          const Json::Value& body) const {
  response.set_header("Store-Era", std::to_string(this->era));
  reply(response, status, body);
}

Json::Value row_standin::shown(const row_name& name, const row& found) const {
  Json::Value value;
  value["table"] = name.first;
  value["part"] = "";
  value["key"] = name.second;
  value["ver"] = Json::Int64(found.version);
  if (found.deleted) {
    value["deleted"] = true;
  } else {
    value["value"] = found.value;
  }
  return value;
}

bool row_standin::holds(const Json::Value& expected,
                        Json::Value& current) const {
  bool all = true;
  for (const auto& each : expected) {
    const row_name name{each["table"].asString(), each["key"].asString()};
    const auto found = this->rows.find(name);
    const bool there = found != this->rows.end() && !found->second.deleted;
    if (there) current.append(this->shown(name, found->second));
    const auto known = there ? found->second.version : 0;
    all = all && known == each["ver"].asInt64();
  }
  return all;
}

void row_standin::transact(const httplib::Request& request,
                           httplib::Response& response) {
  const auto call = body_of(request);
  const std::scoped_lock lock(this->mutex);
  Json::Value answer;
  answer["rows"] = Json::Value(Json::arrayValue);
  if (!this->holds(call["expected"], answer["rows"])) {
    answer["ver"] = Json::Int64(this->version);
    return this->respond(response, condition_failed_status, answer);
  }
  ++this->version;
  for (const auto& each : call["setKeys"]) {
    this->write({each["table"].asString(), each["key"].asString()},
                {each["value"].asString(), this->version, false});
  }
  answer["ver"] = Json::Int64(this->version);
  this->changed.notify_all();
  this->respond(response, ok_status, answer);
}

void row_standin::get(const httplib::Request& request,
                      httplib::Response& response) {
  const std::scoped_lock lock(this->mutex);
  Json::Value answer;
  answer["rows"] = Json::Value(Json::arrayValue);
  answer["hasMore"] = false;
  for (const auto& [name, found] : this->rows) {
    if (name.first != parameter(request, "table") || found.deleted) continue;
    if (name.second < parameter(request, "from")) continue;
    answer["hasMore"] = answer["rows"].size() == most_rows;
    if (answer["hasMore"].asBool()) break;
    answer["rows"].append(this->shown(name, found));
  }
  answer["ver"] = Json::Int64(this->version);
  this->respond(response, ok_status, answer);
}

void row_standin::feed(const httplib::Request& request,
                       httplib::Response& response) {
  const std::string table = parameter(request, "table");
  const auto after = std::atoll(parameter(request, "after").c_str());
  const std::chrono::milliseconds wait(
      std::atoll(parameter(request, "waitMs").c_str()));
  Json::Value news(Json::arrayValue);
  const auto look = [&] {
    for (const auto& [name, found] : this->history) {
      if (name.first != table || found.version <= after) continue;
      news.append(this->shown(name, found));
    }
    return !news.empty();
  };
  std::unique_lock lock(this->mutex);
  if (after > this->version) {
    return this->respond(response, history_gone_status,
                         Json::Value(Json::objectValue));
  }
  this->changed.wait_for(lock, wait, look);
  Json::Value answer;
  answer["rows"] = news;
  answer["ver"] = Json::Int64(this->version);
  this->respond(response, ok_status, answer);
}

void row_standin::write(const row_name& name, row written) {
  this->history.emplace_back(name, written);
  this->rows[name] = std::move(written);
}

void row_standin::put(const httplib::Request& request,
                      httplib::Response& response) {
  const auto call = body_of(request);
  const std::scoped_lock lock(this->mutex);
  ++this->version;
  this->write(
      {call["table"].asString(), call["key"].asString()},
      {call["value"].asString(), this->version, call["deleted"].asBool()});
  this->changed.notify_all();
  this->respond(response, ok_status, Json::Value(Json::objectValue));
}

void row_standin::restore(const httplib::Request& request,
                          httplib::Response& response) {
  const auto copied = body_of(request)["version"].asInt64();
  const std::scoped_lock lock(this->mutex);
  const auto newest = std::exchange(this->rows, {});
  std::erase_if(this->history, [copied](const auto& each) {
    return each.second.version > copied;
  });
  for (const auto& [name, written] : this->history) this->rows[name] = written;
  this->version = copied;
  ++this->era;
  for (const auto& [name, lost] : newest) {
    if (lost.version <= copied || name.first == own_table) continue;
    ++this->version;
    this->write(name, {lost.value, this->version, lost.deleted});
  }
  this->changed.notify_all();
  this->respond(response, ok_status, Json::Value(Json::objectValue));
}

}  // namespace boragehill::standin
