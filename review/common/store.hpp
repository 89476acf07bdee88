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

  /// Writes a row as a worker does that pings; is lost while the store is away.
  void ping(const std::string& table, const std::string& key,
            const Json::Value& value) {
    if (this->era_or_away() != 0) this->put(table, key, value);
  }

  /// Is away for a while and comes back from an older copy, as in a drill:
  /// versions go back and are given out again.
  /// \param age_ms How old the copy is when the store goes away.
  void restore(std::int64_t age_ms, std::int64_t away_ms) {
    const auto copied = clock_type::now() - milliseconds(age_ms);
    {
      const std::scoped_lock lock(this->mutex);
      this->away = true;
      this->changed.notify_all();
    }
    sleep_ms(away_ms);
    const std::scoped_lock lock(this->mutex);
    std::erase_if(this->history,
                  [&](const row& each) { return each.written > copied; });
    this->version = this->history.empty() ? 0 : this->history.back().version;
    this->rows.clear();
    for (const auto& each : this->history) {
      this->rows[{each.table, each.key}] = each;
    }
    ++this->era;
    this->away = false;
  }

  std::int64_t newest_version() {
    const std::scoped_lock lock(this->mutex);
    return this->version;
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
    clock_type::time_point written;
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
    row written{table, key, value, this->version, deleted, clock_type::now()};
    this->history.push_back(written);
    this->rows[{table, key}] = std::move(written);
  }

  void answer_all(connection& from) {
    while (const auto request = read_message(from, true)) {
      int status = 200;
      const auto asked_in = this->era_or_away();
      if (asked_in == 0) return;
      auto answer = this->answer(*request, status);
      // A call that was under way when the store went away gets no answer.
      if (this->era_or_away() != asked_in) return;
      answer["nowMs"] = Json::Int64(ms_since(this->began));
      const auto text = answer_text(status,
                                    {{"Content-Type", "application/json"},
                                     {"Store-Era", std::to_string(asked_in)}},
                                    to_json(answer));
      if (!from.write(text)) return;
    }
  }

  /// \return The era; 0 while the store is away.
  std::int64_t era_or_away() {
    const std::scoped_lock lock(this->mutex);
    return this->away ? 0 : this->era;
  }

  Json::Value answer(const message& request, int& status) {
    const auto& target = request.second;
    if (target.starts_with("/rows-get")) return this->get(target);
    if (target.starts_with("/rows-feed")) return this->feed(target, status);
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

  Json::Value feed(const std::string& target, int& status) {
    const auto table = parameter(target, "table");
    const auto after = std::atoll(parameter(target, "after").c_str());
    const milliseconds wait(std::atoll(parameter(target, "waitMs").c_str()));
    Json::Value news(Json::arrayValue);
    std::unique_lock lock(this->mutex);
    if (after > this->version) {
      status = 410;
      return Json::Value(Json::objectValue);
    }
    this->changed.wait_for(lock, wait, [&] {
      if (this->away) return true;
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
  std::int64_t era = 1;
  bool away = false;
  std::map<std::pair<std::string, std::string>, row> rows;
  std::vector<row> history;
};

}  // namespace review

#endif  // BORAGEHILL_REVIEW_COMMON_STORE_HPP
