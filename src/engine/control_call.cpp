#include "engine/control_call.hpp"

#include <algorithm>
#include <httplib.h>
#include <utility>

#include <boragehill/endpoint.hpp>
#include <boragehill/result_code.hpp>

namespace boragehill::engine {

namespace {

constexpr milliseconds max_connect_timeout{2000};

bool is_never_sent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

}  // namespace

result<control_answer> call_backend(const endpoint& address,
                                    milliseconds timeout,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body) {
  httplib::Client client(address.address, address.port);
  client.set_connection_timeout(std::min(timeout, max_connect_timeout));
  client.set_read_timeout(timeout);
  client.set_tcp_nodelay(true);
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  if (!body.empty()) request.set_header("Content-Type", "application/json");
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool received = client.send(request, response, error);
  if (!received && is_never_sent(error)) return result_code::engine_down;
  if (!received) return result_code::order_unknown;
  return control_answer{.status = response.status,
                        .body = std::move(response.body)};
}

}  // namespace boragehill::engine
