#include "fleet-test/wide_server.hpp"

#include <string_view>
#include <utility>

#include "http/head_text.hpp"
#include "http/header_list.hpp"

namespace boragehill::fleet_test {

wide_server::wide_server(const endpoint& address, std::string id,
                         std::size_t long_bytes)
    : id(std::move(id)),
      long_body(long_bytes, 'x'),
      server(address, [this](const http::message_head& request) {
        return this->answer(request);
      }) {}

std::string wide_server::entry() const {
  constexpr int slots = 100000;
  return this->server.entry(slots);
}

server_answer_bytes wide_server::answer(
    const http::message_head& request) const {
  const bool is_long = request.target.ends_with("long");
  const std::string_view body =
      is_long ? std::string_view(this->long_body) : "short";
  http::header_list headers;
  const auto* attempt = request.headers.find("Boragehill-Attempt-Id");
  if (attempt) headers.add("Boragehill-Attempt-Id", *attempt);
  headers.add("Boragehill-Response-Stamp", this->id);
  headers.add("Content-Length", std::to_string(body.size()));
  constexpr int ok = 200;
  return {.head = http::answer_head(ok, headers), .body = body};
}

}  // namespace boragehill::fleet_test
