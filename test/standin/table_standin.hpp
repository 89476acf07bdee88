#ifndef BORAGEHILL_STANDIN_TABLE_STANDIN_HPP
#define BORAGEHILL_STANDIN_TABLE_STANDIN_HPP

#include <cstdint>
#include <json/json.h>
#include <map>
#include <mutex>
#include <string>

#include "standin/rate_cap.hpp"
#include "standin/standin_server.hpp"

namespace boragehill::standin {

/// The platform's table: rows with etags, transactions, rate caps.
class table_standin {
 public:
  table_standin(const standin_settings& settings, standin_server& server);

 private:
  struct row {
    std::string value;
    std::string etag;
  };
  struct counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
  };

  void read(const Json::Value& question, httplib::Response& response);
  void read_prefix(const Json::Value& question, httplib::Response& response);
  void transact(const Json::Value& question, httplib::Response& response);
  bool is_guarded(const Json::Value& write) const;
  std::string apply(const Json::Value& write);
  Json::Value truth();

  fault_switch& faults;
  std::mutex mutex;
  std::map<std::string, row> rows;
  std::uint64_t last_etag = 0;
  rate_cap reads;
  rate_cap writes;
  std::map<std::string, counts> by_prefix;
  std::uint64_t throttled = 0;
  std::uint64_t conflicts = 0;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_TABLE_STANDIN_HPP
