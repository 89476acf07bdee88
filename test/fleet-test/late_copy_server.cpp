#include "fleet-test/late_copy_server.hpp"

#include <utility>

namespace boragehill::fleet_test {

late_copy_server::late_copy_server(replier reply)
    : reply(std::move(reply)),
      server({.address = "127.0.0.1"}, [this](const auto& request) {
        const auto* attempt = request.headers.find("Boragehill-Attempt-Id");
        return this->answer(attempt ? *attempt : std::string());
      }) {}

std::string late_copy_server::entry() const {
  constexpr int slots = 8;
  return this->server.entry(slots);
}

int late_copy_server::runs_of(const std::string& attempt) {
  const std::scoped_lock lock(this->mutex);
  return this->runs[attempt];
}

int late_copy_server::sends_of(const std::string& attempt) {
  const std::scoped_lock lock(this->mutex);
  return this->sends[attempt];
}

server_answer_bytes late_copy_server::answer(const std::string& attempt) {
  const std::scoped_lock lock(this->mutex);
  auto decided = this->reply(attempt, ++this->sends[attempt]);
  if (decided.runs) ++this->runs[attempt];
  return {.head = std::move(decided.bytes),
          .late = std::move(decided.late_bytes)};
}

}  // namespace boragehill::fleet_test
