#ifndef BORAGEHILL_STANDIN_STANDIN_SERVER_HPP
#define BORAGEHILL_STANDIN_STANDIN_SERVER_HPP

#include <chrono>
#include <functional>
#include <httplib.h>
#include <json/json.h>
#include <string>

#include "kernel/http_server.hpp"
#include "standin/fault_switch.hpp"

namespace boragehill::standin {

struct standin_settings;

/// The HTTP server that every stand-in answers through, with its faults.
class standin_server {
 public:
  using handler = httplib::Server::Handler;

  /// \param settings The address, port and number of threads.
  explicit standin_server(const standin_settings& settings);

  /// Adds a handler that the faults apply to.
  ///
  /// \param method GET, POST, PUT, PATCH or DELETE.
  /// \param pattern The path as a regular expression.
  /// \param handle Answers a request.
  void on(const std::string& method, const std::string& pattern,
          handler handle);

  /// Serves `GET /standin/truth`, past all faults.
  void on_truth(std::function<Json::Value()> truth);

  /// Tells of each request for the handlers above as it is read.
  void on_arrival(std::function<void(const httplib::Request&)> told);

  /// Tells of a request under which the process ends.
  void on_crash(std::function<void(const httplib::Request&)> told);

  /// Adds a `POST` of a test's own, past all faults.
  void on_control(const std::string& path, handler handle);

  /// Listens until told to stop.
  ///
  /// \return False if the port can't be had.
  bool listen();

  /// The faults that a test has set.
  fault_switch& faults();

 private:
  void answer(const handler& handle, const httplib::Request& request,
              httplib::Response& response);
  /// Ends the process.
  [[noreturn]] void crash(const httplib::Request& request);

  kernel::http_server server;
  fault_switch switched;
  std::function<void(const httplib::Request&)> arrival;
  std::function<void(const httplib::Request&)> crashing;
  std::string address;
  int port;
  std::chrono::milliseconds crash_delay;
};

/// Turns an answer into one that breaks off: its length is announced and its
/// body never comes.
void lose(httplib::Response& response);

/// Answers with a status and a JSON body.
void reply(httplib::Response& response, int status, const Json::Value& body);

/// Answers with a status and `{"error":{"code":…}}`.
void reply_error(httplib::Response& response, int status,
                 const std::string& code);

/// Reads a request's body; an empty object if it is not a JSON object.
Json::Value body_of(const httplib::Request& request);

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_STANDIN_SERVER_HPP
