#include "standin/table_standin.hpp"

#include <algorithm>

#include "standin/standin_settings.hpp"

namespace boragehill::standin {

namespace {

std::string prefix_of(const std::string& key) {
  return key.substr(0, key.find('/'));
}

bool is_check(const Json::Value& write) {
  return write.get("check_only", false).asBool();
}

template <class Row>
Json::Value json_of(const std::string& key, const Row& row) {
  Json::Value value;
  value["key"] = key;
  value["value"] = row.value;
  value["etag"] = row.etag;
  return value;
}

}  // namespace

table_standin::table_standin(const standin_settings& settings,
                             standin_server& server)
    : faults(server.faults()),
      reads(settings.reads_per_s),
      writes(settings.writes_per_s) {
  server.on("POST", "/table/read", [this](const auto& request, auto& answer) {
    this->read(body_of(request), answer);
  });
  server.on("POST", "/table/read_prefix",
            [this](const auto& request, auto& answer) {
              this->read_prefix(body_of(request), answer);
            });
  server.on("POST", "/table/transact",
            [this](const auto& request, auto& answer) {
              this->transact(body_of(request), answer);
            });
  server.on_truth([this] { return this->truth(); });
}

void table_standin::read(const Json::Value& question,
                         httplib::Response& response) {
  const std::scoped_lock lock(this->mutex);
  const std::string key = question["key"].asString();
  ++this->by_prefix[prefix_of(key)].reads;
  if (!this->reads.take(1)) {
    ++this->throttled;
    return reply_error(response, 429, "throttled");
  }
  const auto found = this->rows.find(key);
  if (found == this->rows.end()) return reply_error(response, 404, "no_row");
  reply(response, 200, json_of(key, found->second));
}

void table_standin::read_prefix(const Json::Value& question,
                                httplib::Response& response) {
  const std::scoped_lock lock(this->mutex);
  const std::string prefix = question["prefix"].asString();
  ++this->by_prefix[prefix_of(prefix)].reads;
  if (!this->reads.take(1)) {
    ++this->throttled;
    return reply_error(response, 429, "throttled");
  }
  Json::Value body;
  body["rows"] = Json::Value(Json::arrayValue);
  for (auto at = this->rows.lower_bound(prefix);
       at != this->rows.end() && at->first.starts_with(prefix); ++at) {
    body["rows"].append(json_of(at->first, at->second));
  }
  reply(response, 200, body);
}

void table_standin::transact(const Json::Value& question,
                             httplib::Response& response) {
  if (this->faults.refuses_writes()) return reply_error(response, 503, "down");
  const std::scoped_lock lock(this->mutex);
  const Json::Value& steps = question["writes"];
  const auto count =
      std::count_if(steps.begin(), steps.end(),
                    [](const Json::Value& write) { return !is_check(write); });
  for (const Json::Value& write : steps) {
    if (is_check(write)) continue;
    ++this->by_prefix[prefix_of(write["key"].asString())].writes;
  }
  if (!this->writes.take(static_cast<double>(count))) {
    ++this->throttled;
    return reply_error(response, 429, "throttled");
  }
  const bool free = std::all_of(
      steps.begin(), steps.end(),
      [this](const Json::Value& write) { return this->is_guarded(write); });
  if (!free) {
    ++this->conflicts;
    return reply_error(response, 409, "conflict");
  }
  Json::Value body;
  body["etags"] = Json::Value(Json::arrayValue);
  for (const Json::Value& write : steps) {
    body["etags"].append(this->apply(write));
  }
  reply(response, 200, body);
}

bool table_standin::is_guarded(const Json::Value& write) const {
  const std::string etag = write["etag"].asString();
  const auto found = this->rows.find(write["key"].asString());
  if (found == this->rows.end()) return etag.empty();
  return found->second.etag == etag;
}

std::string table_standin::apply(const Json::Value& write) {
  const std::string key = write["key"].asString();
  if (is_check(write)) return write["etag"].asString();
  if (write["value"].isNull()) {
    this->rows.erase(key);
    return {};
  }
  std::string etag = std::to_string(++this->last_etag);
  this->rows[key] = row{.value = write["value"].asString(), .etag = etag};
  return etag;
}

Json::Value table_standin::truth() {
  const std::scoped_lock lock(this->mutex);
  Json::Value body;
  body["rows"] = Json::UInt64{this->rows.size()};
  body["throttled"] = Json::UInt64{this->throttled};
  body["conflicts"] = Json::UInt64{this->conflicts};
  for (const auto& [prefix, count] : this->by_prefix) {
    body["reads"][prefix] = Json::UInt64{count.reads};
    body["writes"][prefix] = Json::UInt64{count.writes};
  }
  return body;
}

}  // namespace boragehill::standin
