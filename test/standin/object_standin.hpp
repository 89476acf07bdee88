#ifndef BORAGEHILL_STANDIN_OBJECT_STANDIN_HPP
#define BORAGEHILL_STANDIN_OBJECT_STANDIN_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standin/standin_server.hpp"

namespace boragehill::standin {

/// The platform's object store.
class object_standin {
 public:
  explicit object_standin(standin_server& server);

 private:
  void get(const std::string& name, httplib::Response& response);
  void put(const std::string& name, const std::string& value);
  void remove(const std::string& name);
  Json::Value truth();

  std::mutex mutex;
  std::map<std::string, std::string> objects;
  std::uint64_t gets = 0;
  std::uint64_t puts = 0;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_OBJECT_STANDIN_HPP
