#ifndef BORAGEHILL_STANDIN_SERVICE_STANDIN_HPP
#define BORAGEHILL_STANDIN_SERVICE_STANDIN_HPP

#include <chrono>
#include <json/json.h>
#include <string>

#include "standin/engine_batch.hpp"
#include "standin/run_truth.hpp"
#include "standin/standin_server.hpp"

namespace boragehill::standin {

/// A plain service that answers every call with JSON worked out from it.
class service_standin {
 public:
  service_standin(const standin_settings& settings, standin_server& server);

 private:
  void serve(const httplib::Request& request, httplib::Response& response);
  Json::Value state();

  std::string incarnation;
  std::chrono::milliseconds delay;
  engine_batch batch;
  run_truth runs;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_SERVICE_STANDIN_HPP
