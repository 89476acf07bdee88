#ifndef BORAGEHILL_ROUTER_ADMIN_LISTENER_HPP
#define BORAGEHILL_ROUTER_ADMIN_LISTENER_HPP

#include <json/value.h>
#include <memory>
#include <string>
#include <thread>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace boragehill::wire {
class rpc_client;
}

namespace boragehill::router {

class catalog_duty;
class fleet;
class home_duty;
class published_config;
class publisher;
class request_log;

/// What the operators' listener acts on; all of it outlives the listener.
struct admin_parts {
  fleet& members;
  published_config& config;
  publisher& published;
  catalog_duty& catalogs;
  home_duty& home;
  request_log& log;
  wire::rpc_client& rpc;
  milliseconds call_timeout;
};

/// The operators' HTTP server, apart from the callers': profiles, status,
/// explain. Every request must carry the token as a bearer token.
class admin_listener {
 public:
  /// \param listen Where to listen.
  /// \param token The secret that operators send; never logged.
  admin_listener(endpoint listen, std::string token, admin_parts& parts);
  ~admin_listener();

  /// Binds and listens. Errors: address_in_use.
  result<void> start();
  void stop();

 private:
  void add_routes();
  bool allowed(const httplib::Request& raw) const;
  void publish(const httplib::Request& raw, httplib::Response& response);
  std::string why_not_accepted(result_code code, const std::string& name);
  void list(httplib::Response& response);
  void show(const std::string& name, httplib::Response& response);
  void history(const std::string& name, httplib::Response& response);
  void status(httplib::Response& response);
  void explain(const std::string& what, httplib::Response& response);
  result<Json::Value> explain_target(const std::string& target);
  result<Json::Value> explain_request(const std::string& id);

  endpoint listen;
  std::string token;
  admin_parts& parts;
  std::unique_ptr<httplib::Server> server;
  std::thread listening;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ADMIN_LISTENER_HPP
