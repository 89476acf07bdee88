// A stand-in of the platform's store of rows, on one address.
//
//   review_store IP PORT
//
// POST /test/put writes a row as the operator or a worker would.

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <httplib.h>
#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using row_name = std::pair<std::string, std::string>;

struct row {
  std::string value;
  std::int64_t version = 0;
  bool deleted = false;
};

Json::Value parsed(const std::string& text) {
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
  return value;
}

std::string written(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

class store {
 public:
  void put(const row_name& name, const std::string& value, bool deleted) {
    const std::scoped_lock lock(this->mutex);
    ++this->version;
    this->write(name, value, deleted);
  }

  std::pair<int, Json::Value> transact(const Json::Value& call) {
    const std::scoped_lock lock(this->mutex);
    Json::Value answer;
    answer["rows"] = Json::Value(Json::arrayValue);
    bool holds = true;
    for (const auto& each : call["expected"]) {
      const auto found = this->rows.find(name_of(each));
      const bool there = found != this->rows.end() && !found->second.deleted;
      if (there) answer["rows"].append(shown(found->first, found->second));
      const auto known = there ? found->second.version : 0;
      holds = holds && known == each["ver"].asInt64();
    }
    if (holds) {
      ++this->version;
      for (const auto& each : call["setKeys"]) {
        this->write(name_of(each), each["value"].asString());
      }
    }
    return {holds ? 200 : 412, this->ended(answer)};
  }

  Json::Value get(const std::string& table, const std::string& from) {
    const std::scoped_lock lock(this->mutex);
    Json::Value answer;
    answer["rows"] = Json::Value(Json::arrayValue);
    answer["hasMore"] = false;
    for (const auto& [name, found] : this->rows) {
      if (name.first != table || name.second < from || found.deleted) continue;
      answer["rows"].append(shown(name, found));
    }
    return this->ended(answer);
  }

  Json::Value feed(const std::string& table, std::int64_t after,
                   std::chrono::milliseconds wait) {
    std::unique_lock lock(this->mutex);
    Json::Value answer;
    answer["rows"] = Json::Value(Json::arrayValue);
    this->changed.wait_for(lock, wait, [&] {
      for (const auto& [name, found] : this->history) {
        if (name.first != table || found.version <= after) continue;
        answer["rows"].append(shown(name, found));
      }
      return !answer["rows"].empty();
    });
    return this->ended(answer);
  }

 private:
  static row_name name_of(const Json::Value& found) {
    return {found["table"].asString(), found["key"].asString()};
  }

  static Json::Value shown(const row_name& name, const row& found) {
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

  Json::Value ended(Json::Value answer) const {
    answer["ver"] = Json::Int64(this->version);
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    answer["nowMs"] = Json::Int64(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    return answer;
  }

  void write(const row_name& name, const std::string& value,
             bool deleted = false) {
    const row added{value, this->version, deleted};
    this->rows[name] = added;
    this->history.emplace_back(name, added);
    this->changed.notify_all();
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::int64_t version = 0;
  std::map<row_name, row> rows;
  std::vector<std::pair<row_name, row>> history;
};

/// What the pages say that the store takes for an answer.
constexpr std::chrono::milliseconds answer_time{4};

void answer(httplib::Response& response, int status, const Json::Value& body) {
  std::this_thread::sleep_for(answer_time);
  response.status = status;
  response.set_content(written(body), "application/json");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  store rows;
  httplib::Server server;
  server.new_task_queue = [] { return new httplib::ThreadPool(64); };
  server.set_keep_alive_max_count(1000000);
  server.Post("/test/put", [&](const auto& request, auto& response) {
    const auto call = parsed(request.body);
    rows.put({call["table"].asString(), call["key"].asString()},
             call["value"].asString(), call["deleted"].asBool());
    answer(response, 200, Json::Value(Json::objectValue));
  });
  server.Post("/rows-tx", [&](const auto& request, auto& response) {
    const auto [status, body] = rows.transact(parsed(request.body));
    answer(response, status, body);
  });
  server.Get("/rows-get", [&](const auto& request, auto& response) {
    answer(response, 200,
           rows.get(request.get_param_value("table"),
                    request.get_param_value("from")));
  });
  server.Get("/rows-feed", [&](const auto& request, auto& response) {
    const std::chrono::milliseconds wait(
        std::atoll(request.get_param_value("waitMs").c_str()));
    answer(
        response, 200,
        rows.feed(request.get_param_value("table"),
                  std::atoll(request.get_param_value("after").c_str()), wait));
  });
  return server.listen(argv[1], std::atoi(argv[2])) ? 0 : 2;
}
