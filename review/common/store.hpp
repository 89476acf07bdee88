#ifndef BORAGEHILL_REVIEW_COMMON_STORE_HPP
#define BORAGEHILL_REVIEW_COMMON_STORE_HPP

#include <condition_variable>
#include <cstdint>
#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "net.hpp"

// A stand-in for the platform's store of rows: transactions of one part, reads
// and feeds. What the system doesn't call is left out.
namespace review {

inline std::string to_base64(const std::string& bytes) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t each = 0; each < 3; ++each) {
      group <<= 8U;
      if (at + each < bytes.size()) {
        group |= static_cast<unsigned char>(bytes[at + each]);
      }
    }
    for (std::size_t each = 0; each < 4; ++each) {
      const bool is_there = at + each <= bytes.size();
      text += is_there ? digits[(group >> (18 - 6 * each)) & 63U] : '=';
    }
  }
  return text;
}

inline Json::Value from_json(const std::string& text) {
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
  return value;
}

inline std::string to_json(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

/// \return The value of a parameter of a request's target; empty if it isn't
///     there.
inline std::string parameter(const std::string& target,
                             const std::string& name) {
  for (const char mark : {'?', '&'}) {
    const auto at = target.find(mark + name + "=");
    if (at == std::string::npos) continue;
    const auto begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  return {};
}

class store {
 public:
  bool start(const address& at) {
    const int listener = listen_at(at);
    if (listener < 0) return false;
    serve(listener, [this](connection& from) { this->answer_all(from); });
    return true;
  }

  /// Writes a row as the operator or a worker does.
  void put(const std::string& table, const std::string& key,
           const Json::Value& value) {
    const std::scoped_lock lock(this->mutex);
    ++this->version;
    this->write(table, key, to_base64(to_json(value)), false);
    this->changed.notify_all();
  }

  void remove(const std::string& table, const std::string& key) {
    const std::scoped_lock lock(this->mutex);
    ++this->version;
    this->write(table, key, {}, true);
    this->changed.notify_all();
  }

 private:
  struct row {
    std::string table;
    std::string key;
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
  };

  static Json::Value shown(const row& found) {
    Json::Value value;
    value["table"] = found.table;
    value["part"] = "";
    value["key"] = found.key;
    value["ver"] = Json::Int64(found.version);
    if (found.deleted) {
      value["deleted"] = true;
    } else {
      value["value"] = found.value;
    }
    return value;
  }

  void write(const std::string& table, const std::string& key,
             const std::string& value, bool deleted) {
    row written{table, key, value, this->version, deleted};
    this->history.push_back(written);
    this->rows[{table, key}] = std::move(written);
  }

  void answer_all(connection& from) {
    while (const auto request = read_message(from, true)) {
      int status = 200;
      auto answer = this->answer(*request, status);
      answer["nowMs"] = Json::Int64(ms_since(this->began));
      const auto text = answer_text(
          status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
          to_json(answer));
      if (!from.write(text)) return;
    }
  }

  Json::Value answer(const message& request, int& status) {
    const auto& target = request.second;
    if (target.starts_with("/rows-get")) return this->get(target);
    if (target.starts_with("/rows-feed")) return this->feed(target);
    if (target.starts_with("/rows-tx")) {
      return this->transact(from_json(request.body), status);
    }
    status = 404;
    return Json::Value(Json::objectValue);
  }

  Json::Value get(const std::string& target) {
    const std::scoped_lock lock(this->mutex);
    Json::Value answer;
    answer["rows"] = Json::Value(Json::arrayValue);
    const auto from = parameter(target, "from");
    for (const auto& [name, found] : this->rows) {
      if (name.first != parameter(target, "table") || found.deleted) continue;
      if (name.second >= from) answer["rows"].append(shown(found));
    }
    answer["hasMore"] = false;
    answer["ver"] = Json::Int64(this->version);
    return answer;
  }

  Json::Value feed(const std::string& target) {
    const auto table = parameter(target, "table");
    const auto after = std::atoll(parameter(target, "after").c_str());
    const milliseconds wait(std::atoll(parameter(target, "waitMs").c_str()));
    Json::Value news(Json::arrayValue);
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, wait, [&] {
      news.clear();
      for (const auto& each : this->history) {
        if (each.table == table && each.version > after) {
          news.append(shown(each));
        }
      }
      return !news.empty();
    });
    Json::Value answer;
    answer["rows"] = news;
    answer["ver"] = Json::Int64(this->version);
    return answer;
  }

  Json::Value transact(const Json::Value& call, int& status) {
    const std::scoped_lock lock(this->mutex);
    Json::Value answer;
    answer["rows"] = Json::Value(Json::arrayValue);
    bool holds = true;
    for (const auto& each : call["expected"]) {
      const auto found =
          this->rows.find({each["table"].asString(), each["key"].asString()});
      const bool there = found != this->rows.end() && !found->second.deleted;
      if (there) answer["rows"].append(shown(found->second));
      const auto known = there ? found->second.version : 0;
      holds = holds && known == each["ver"].asInt64();
    }
    if (holds) {
      ++this->version;
      for (const auto& each : call["setKeys"]) {
        this->write(each["table"].asString(), each["key"].asString(),
                    each["value"].asString(), false);
      }
      for (const auto& each : call["remove"]) {
        this->write(each["table"].asString(), each["key"].asString(), {}, true);
      }
      answer["rows"] = Json::Value(Json::arrayValue);
      this->changed.notify_all();
    } else {
      status = 412;
    }
    answer["ver"] = Json::Int64(this->version);
    return answer;
  }

  std::mutex mutex;
  std::condition_variable changed;
  clock_type::time_point began = clock_type::now();
  std::int64_t version = 0;
  std::map<std::pair<std::string, std::string>, row> rows;
  std::vector<row> history;
};

}  // namespace review

#endif  // BORAGEHILL_REVIEW_COMMON_STORE_HPP
