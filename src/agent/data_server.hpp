#ifndef BORAGEHILL_AGENT_DATA_SERVER_HPP
#define BORAGEHILL_AGENT_DATA_SERVER_HPP

#include <functional>
#include <memory>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>

namespace boragehill::agent {

class attempt_runner;
class kept_answers;

/// The agent's HTTP listener: `POST /attempt`, `GET /attempt/<id>`,
/// `GET /healthz` and `GET /metrics`.
class data_server {
 public:
  /// \param listen Where; port 0 takes a free one.
  /// \param runner Runs the attempts; must outlive it.
  /// \param answers The kept answers; must outlive it.
  /// \param metrics Returns the metrics text.
  data_server(endpoint listen, attempt_runner& runner, kept_answers& answers,
              std::function<std::string()> metrics);
  ~data_server();

  data_server(const data_server&) = delete;
  data_server& operator=(const data_server&) = delete;

  /// Listens. Errors: address_in_use.
  result<void> start();
  /// Returns the address listened on, with the real port.
  endpoint bound() const;
  /// Takes no more connections and waits for those taken. Idempotent.
  void stop();

 private:
  class impl;
  std::unique_ptr<impl> inner;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_DATA_SERVER_HPP
