#ifndef BORAGEHILL_STANDIN_ENGINE_STANDIN_HPP
#define BORAGEHILL_STANDIN_ENGINE_STANDIN_HPP

#include <chrono>
#include <json/json.h>
#include <string>

#include "standin/cache_events.hpp"
#include "standin/engine_batch.hpp"
#include "standin/engine_models.hpp"
#include "standin/run_truth.hpp"
#include "standin/standin_server.hpp"

namespace boragehill::standin {

struct generation;

/// A model engine: continuous batching at a token rate, orders, memory.
class engine_standin {
 public:
  engine_standin(const standin_settings& settings, standin_server& server);

 private:
  void add_orders(standin_server& server);
  void add_requests(standin_server& server);
  void order(const Json::Value& order, httplib::Response& response);
  void complete(const httplib::Request& request, httplib::Response& response);
  void answer_whole(const generation& made, httplib::Response& response);
  void answer_stream(const generation& made, httplib::Response& response);
  bool write_next(const generation& made, std::uint32_t index,
                  httplib::DataSink& sink);
  Json::Value state();
  Json::Value truth();

  std::string incarnation;
  std::chrono::duration<double> token_time;
  engine_models models;
  engine_batch batch;
  cache_events events;
  run_truth runs;
  fault_switch& faults;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_ENGINE_STANDIN_HPP
