#include "platform/http_caller.hpp"

#include <httplib.h>
#include <utility>

#include <boragehill/result_code.hpp>

#include "platform/http_answer.hpp"
#include "platform/http_status.hpp"

namespace boragehill::platform {

namespace {

bool is_framed(const httplib::Response& response) {
  if (response.status == status_no_content) return true;
  if (response.status == status_not_modified) return true;
  return response.has_header("Content-Length") ||
         response.has_header("Transfer-Encoding");
}

bool never_connected(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

}  // namespace

http_caller::http_caller(endpoint address, milliseconds timeout)
    : address(std::move(address)), timeout(timeout) {}

result<http_answer> http_caller::send(const std::string& method,
                                      const std::string& target,
                                      const std::string& body,
                                      const std::string& content_type,
                                      const std::string& known) const {
  // A kept-alive connection may have been closed by the far end meanwhile; the
  // library then connects anew by itself, and whether the first bytes were
  // acted on can't be told. On a connection of its own a request is sent once
  // or, if connecting failed, not at all. The price is a connect a call.
  httplib::Client client(this->address.address, this->address.port);
  client.set_connection_timeout(this->timeout / 4);
  client.set_write_timeout(this->timeout / 4);
  client.set_read_timeout(this->timeout - this->timeout / 4);
  client.set_url_encode(false);
  client.set_tcp_nodelay(true);

  const auto end = std::chrono::steady_clock::now() + this->timeout;
  httplib::Request request;
  request.method = method;
  request.path = target;
  request.body = body;
  request.set_header("Accept-Encoding", "identity");
  if (!body.empty()) request.set_header("Content-Type", content_type);
  if (!known.empty()) request.set_header("If-None-Match", known);
  // The read timeout starts anew with every byte; an answer that trickles in
  // would hold the caller far longer than it was promised.
  request.progress = [end](std::uint64_t, std::uint64_t) {
    return std::chrono::steady_clock::now() < end;
  };

  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool whole = client.send(request, response, error);
  if (!whole && never_connected(error)) return result_code::platform_down;
  // Without a length or chunks a cut connection looks like the body's end.
  if (!whole || !is_framed(response)) return result_code::platform_answer_lost;
  return http_answer{.status = response.status,
                     .body = std::move(response.body),
                     .etag = response.get_header_value("ETag")};
}

}  // namespace boragehill::platform
