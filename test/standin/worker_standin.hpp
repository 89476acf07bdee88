#ifndef BORAGEHILL_STANDIN_WORKER_STANDIN_HPP
#define BORAGEHILL_STANDIN_WORKER_STANDIN_HPP

#include <cstdint>
#include <httplib.h>
#include <json/json.h>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace boragehill::standin {

class fault_switch;
class standin_server;
struct standin_settings;

/// Stands in for a backend server of the platform, model worker or plain
/// service: registers itself in the store, runs requests, takes orders, and
/// keeps the truth of what ran and what was ordered beyond its memory.
class worker_standin {
 public:
  worker_standin(const standin_settings& settings, standin_server& server);
  ~worker_standin();

 private:
  /// Writes a line that tells what happened to an attempt, and when.
  /// \param more What else is told of it.
  void note(const char* what, const std::string& attempt,
            const std::string& more = {}) const;
  /// Tells of a request that reached this server, with the time left that it
  /// names.
  void note_arrival(const httplib::Request& request) const;
  void note_run(const std::string& attempt);
  void run(const httplib::Request& request, httplib::Response& response);
  void stream(const httplib::Request& request, httplib::Response& response);
  void order(const httplib::Request& request, httplib::Response& response);
  void report(httplib::Response& response);
  void carry_out(const std::string& op, const std::string& model);
  bool refuses(const httplib::Request& request, httplib::Response& response);
  void register_self();
  void register_after(std::chrono::milliseconds delay);
  Json::Value models_shown() const;
  Json::Value truth();

  fault_switch& faults;
  std::string id;
  std::string service;
  std::string software;
  std::string address;
  std::string store;
  std::int64_t load_ms;
  std::int64_t delay_ms;
  std::size_t places;
  std::mutex mutex;
  std::map<std::string, std::set<std::string>> models;
  std::vector<std::string> on_disk;
  bool tells_start;
  /// When this lifetime started.
  std::int64_t born;
  bool busy = false;
  bool draining = false;
  std::int64_t sequence = 0;
  std::map<std::string, int> runs;
  std::set<std::string> holders;
  std::int64_t highest_fence = 0;
  /// Orders with a lower fence than one before.
  int lowered_fences = 0;
  int overcommitted = 0;
  int turned_away = 0;
  int running = 0;
  std::vector<std::thread> work;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_WORKER_STANDIN_HPP
