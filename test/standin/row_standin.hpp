#ifndef BORAGEHILL_STANDIN_ROW_STANDIN_HPP
#define BORAGEHILL_STANDIN_ROW_STANDIN_HPP

#include <condition_variable>
#include <cstdint>
#include <httplib.h>
#include <json/json.h>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace boragehill::standin {

class standin_server;

/// Stands in for the platform's store of rows: tables of rows with versions
/// from one counter, conditional transactions, and feeds that wait for changes
/// and hold each of them. A test writes the operator's and the workers' rows by
/// `POST /standin/put`, and lets the store come back from an older copy by
/// `POST /standin/restore`.
class row_standin {
 public:
  explicit row_standin(standin_server& server);

 private:
  /// Table and key.
  using row_name = std::pair<std::string, std::string>;
  struct row {
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
  };

  void transact(const httplib::Request& request, httplib::Response& response);
  void get(const httplib::Request& request, httplib::Response& response);
  void feed(const httplib::Request& request, httplib::Response& response);
  void put(const httplib::Request& request, httplib::Response& response);
  /// Drops what was written after a version; what others than the system wrote
  /// is written again.
  void restore(const httplib::Request& request, httplib::Response& response);
  /// Answers with the era.
  void respond(httplib::Response& response, int status,
               const Json::Value& body) const;
  void write(const row_name& name, row written);
  bool holds(const Json::Value& expected, Json::Value& current) const;
  Json::Value shown(const row_name& name, const row& found) const;

  std::mutex mutex;
  std::condition_variable changed;
  std::map<row_name, row> rows;
  /// Each row as it was written, in order.
  std::vector<std::pair<row_name, row>> history;
  std::int64_t version = 0;
  std::int64_t era = 1;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_ROW_STANDIN_HPP
